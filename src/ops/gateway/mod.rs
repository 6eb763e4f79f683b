//! The gateway: a reverse proxy that routes calls by host and path to the back ends listed in the
//! platform's registry.
//!
//! - [`listen`], [`forward`], [`progress`], [`next_hop`], [`attempt`], [`running`], [`stream`], `event_buffer`, [`pool`]:
//!   the data path of a call;
//! - [`peer_forward`], [`reach`]: calls that reach back ends only through another node;
//! - [`follow_store`], [`register`], [`mesh`], [`snapshot`], [`relay`], [`install`]: replication of the
//!   store's contents and of load, usage and liveness between nodes;
//! - [`startup`]: calls that arrive before the first configuration;
//! - `silence`: calls whose back ends are silent;
//! - [`claim`], [`duties`], [`decided_counts`]: work that is done by one elected node on behalf of all;
//! - [`software`], [`resume`], [`origin_keepers`], [`origin_hand_over`], [`origin_archive`]: the software version at which a broken stream may go on;
//! - [`settled_era`]: when the registry is complete again after a restore of the store;
//! - [`rollout`], [`rollout_wire`]: moves of services to other software versions;
//! - [`body_memory`]: memory for the bodies of calls and answers;
//! - [`quota`], [`quota_lend`], [`quota_wire`]: customers' quotas, lent to a few nodes and charged there;
//! - [`quarantine`]: prompts that crash back ends and are sent to none;
//! - [`concurrency`], [`samples_wire`]: how many calls each back end takes well;
//! - [`state`]: state of the node that is shared by all of these;
//! - [`dialect`]: interface that the adapter of a platform implements.

pub mod active;
pub mod attempt;
pub mod body_memory;
pub mod call;
pub mod claim;
pub mod concurrency;
pub mod confirm;
pub mod decided_counts;
pub mod dialect;
pub mod duties;
mod event_buffer;
pub mod follow_store;
pub mod forward;
pub mod install;
pub mod keys;
pub mod lease;
pub mod listen;
pub mod load_wire;
pub mod mesh;
pub mod mesh_wire;
pub mod next_hop;
pub mod node_wire;
pub mod origin_archive;
pub mod origin_hand_over;
pub mod origin_keepers;
pub mod peer_forward;
pub mod pool;
pub mod progress;
pub mod quarantine;
pub mod quota;
pub mod quota_lend;
pub mod quota_wire;
pub mod reach;
pub mod record;
pub mod refusal;
pub mod register;
pub mod relay;
pub mod response;
pub mod resume;
pub mod rollout;
pub mod rollout_wire;
pub mod running;
pub mod samples_wire;
pub mod settled_era;
mod silence;
pub mod snapshot;
pub mod snapshot_wire;
pub mod software;
pub mod startup;
pub mod state;
pub mod stream;
pub mod view;
pub mod write_turn;
