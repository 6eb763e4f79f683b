//! State of a node's gateway. The control tasks write it, and calls read it.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use parking_lot::{Mutex, RwLock};
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::active::ActiveCalls;
use super::body_memory::BodyMemory;
use super::dialect::Dialect;
use super::quota::Quotas;
use super::startup::Startup;
use super::view::View;
use crate::core::gateway::backends::Backends;
use crate::core::gateway::clock::ClockMedian;
use crate::core::gateway::members::{Capacity, Member, Members, StoreKnowledge};
use crate::core::gateway::placement::Regions;
use crate::core::gateway::quarantine::Quarantine;
use crate::core::gateway::reachability::Reachability;
use crate::core::gateway::retry_budget::RetryBudget;
use crate::core::gateway::rollout::exposure::ExposureBound;
use crate::core::gateway::rollout::{RolloutBounds, Rollouts};
use crate::core::gateway::routes::{RouteTable, ServiceName};
use crate::core::gateway::silence::Activities;
use crate::core::gateway::software::SoftwareHistory;
use crate::core::gateway::store_contact::StoreContact;
use crate::core::gateway::stream_origins::StreamOrigins;
use crate::core::gateway::usage::{Counts, UsageCounts, Window};
use crate::core::gateway::work::WorkRates;
use crate::core::time::{Moment, UnixMillis};
use crate::sources::store::{Era, Revision};
use crate::util::settings::GatewaySettings;
use crate::util::time::{as_millis_u64, since_boot, unix_now};

/// Lifecycle phase of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No configuration is known yet.
    Starting,
    /// Calls are served.
    Serving,
    /// Calls in progress are finished; new callers are sent to other nodes.
    Leaving,
}

/// Why work on a call was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GivenUp {
    /// Its deadline has passed.
    Deadline,
    /// The process stops.
    Stopping,
}

/// State of a node's gateway.
pub struct GatewayState {
    /// Settings.
    pub settings: GatewaySettings,
    /// Wire format of the platform.
    pub dialect: Arc<dyn Dialect>,
    /// Random number that identifies this run of the process.
    pub incarnation: u64,
    /// When the process started.
    pub started_at: Moment,
    /// Configuration in force.
    pub table: RwLock<Option<Arc<RouteTable>>>,
    /// Back ends.
    pub backends: Mutex<Backends>,
    /// Nodes of the fleet, this one included.
    pub members: Mutex<Members>,
    /// Quotas of customers.
    pub quotas: Quotas,
    /// Retry budgets, by service.
    pub retries: Mutex<HashMap<ServiceName, RetryBudget>>,
    /// Counts of calls that were started, for usage reports.
    pub usage: Mutex<UsageCounts>,
    /// Prompts that crash back ends.
    pub quarantine: Mutex<Quarantine>,
    /// When the back ends that send streams last did so.
    pub activities: Mutex<Activities>,
    /// Whether this node reaches the back ends of each service.
    pub reach: Mutex<Reachability>,
    /// Software versions that services have had lately.
    pub software: Mutex<SoftwareHistory>,
    /// Rollouts of software versions. Locked before `backends`, where both are.
    pub rollouts: Mutex<Rollouts>,
    /// Which software versions began streams.
    pub origins: Mutex<StreamOrigins>,
    /// Rate of incoming work, by service.
    pub work: Mutex<WorkRates>,
    /// Clock readings of all nodes.
    pub clock: Mutex<ClockMedian>,
    /// Replica of the store.
    pub view: Mutex<View>,
    /// Contact with the store.
    pub contact: Mutex<StoreContact>,
    /// Revision of the store up to which the view is complete.
    pub revision: watch::Sender<Revision>,
    /// Notified when the store is known to be ahead of the view, so that this node asks the store itself.
    pub is_behind: Notify,
    /// When calls must have been answered because the process stops; `None` while it does not.
    pub stop_by: watch::Sender<Option<Instant>>,
    /// Start of the process, until it has a configuration.
    pub startup: Startup,
    /// Phase of the process.
    pub phase: watch::Sender<Phase>,
    /// Memory for the bodies of calls and answers.
    pub bodies: BodyMemory,
    /// Calls that are being served.
    pub active: ActiveCalls,
    /// Open connections on which a call has arrived. Their callers may still be receiving responses.
    pub call_connections: AtomicU64,
    regions: RegionMap,
}

struct RegionMap(HashMap<Box<str>, Box<str>>);

impl Regions for RegionMap {
    fn is_same_region(&self, a: &str, b: &str) -> bool {
        a == b
            || self
                .0
                .get(a)
                .is_some_and(|region| self.0.get(b) == Some(region))
    }
}

impl GatewayState {
    /// Creates the state of a process that has just started.
    pub fn new(settings: GatewaySettings, dialect: Arc<dyn Dialect>) -> Arc<Self> {
        let regions = RegionMap(settings.regions.clone());
        let incarnation = rand::random::<u64>().max(1);
        let started_at = since_boot();
        Arc::new(Self {
            bodies: BodyMemory::new(settings.memory_bytes),
            rollouts: Mutex::new(Rollouts::new(RolloutBounds {
                exposure: ExposureBound {
                    max_part: settings.bounds.exposure,
                    slack: settings.bounds.exposure_slack,
                },
                stop_within: settings.bounds.rollback,
            })),
            quotas: Quotas::new(settings.name.clone(), incarnation, started_at),
            backends: Mutex::new(match settings.learns_limits {
                true => Backends::learning_limits(),
                false => Backends::default(),
            }),
            started_at,
            settings,
            dialect,
            incarnation,
            table: RwLock::new(None),
            members: Mutex::default(),
            retries: Mutex::default(),
            usage: Mutex::default(),
            quarantine: Mutex::default(),
            activities: Mutex::default(),
            reach: Mutex::default(),
            software: Mutex::default(),
            origins: Mutex::default(),
            work: Mutex::default(),
            clock: Mutex::default(),
            view: Mutex::default(),
            contact: Mutex::new(StoreContact::new(started_at)),
            revision: watch::Sender::new(Revision::NONE),
            is_behind: Notify::new(),
            stop_by: watch::Sender::new(None),
            startup: Startup::new(),
            phase: watch::Sender::new(Phase::Starting),
            active: ActiveCalls::default(),
            call_connections: AtomicU64::new(0),
            regions,
        })
    }

    /// Returns the configuration in force.
    pub fn table(&self) -> Option<Arc<RouteTable>> {
        self.table.read().clone()
    }

    /// Runs `work` until `deadline`, or until the process must have answered its calls because it stops.
    ///
    /// # Errors
    ///
    /// Fails with the reason why the work was given up.
    pub async fn run_until<F: Future>(
        &self,
        deadline: Instant,
        work: F,
    ) -> Result<F::Output, GivenUp> {
        tokio::pin!(work);
        let mut stop_by = self.stop_by.subscribe();
        loop {
            let stop = stop_by.borrow_and_update().filter(|stop| *stop < deadline);
            tokio::select! {
                output = &mut work => return Ok(output),
                () = tokio::time::sleep_until(stop.unwrap_or(deadline)) => {
                    return Err(match stop {
                        Some(_) => GivenUp::Stopping,
                        None => GivenUp::Deadline,
                    });
                }
                // The sender is a part of this value and lives as long as it.
                Ok(()) = stop_by.changed() => {}
            }
        }
    }

    /// Returns the time of the monotonic clock, which goes on while the VM is suspended.
    pub fn now(&self) -> Moment {
        since_boot()
    }

    /// Returns the wall-clock time, as the median over the nodes.
    pub fn wall(&self) -> UnixMillis {
        let now = self.now();
        let mut clock = self.clock.lock();
        clock.record(self.incarnation, unix_now(), now);
        clock.wall(now).unwrap_or_else(unix_now)
    }

    /// Returns the mapping of availability zones to regions.
    pub fn regions(&self) -> &dyn Regions {
        &self.regions
    }

    /// Returns the phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Returns the entry of this node as it is registered in the store.
    pub fn own_member(&self) -> Member {
        let settings = &self.settings;
        Member {
            name: settings.name.clone(),
            region: settings.region.clone(),
            zone: settings.zone.clone(),
            callers: settings.listen.callers,
            peers: settings.listen.peers,
            control: settings.listen.control,
            incarnation: self.incarnation,
            is_ready: self.phase() == Phase::Serving,
            capacity: Capacity {
                cpu_millis: (settings.cores * 1e3) as u32,
                link_mbps: settings.link_mbps as u32,
            },
        }
    }

    /// Counts a call that was started `ago` before now.
    pub fn count_usage(&self, customer: &str, ago: Moment) {
        let at = self.wall().saturating_sub(ago.as_millis() as u64);
        let window = self.window_at(at);
        let zone = &self.settings.zone;
        self.usage
            .lock()
            .count(self.incarnation, zone, window, customer);
    }

    /// Returns the usage window that contains a time.
    pub fn window_at(&self, at: UnixMillis) -> Window {
        at / self.usage_window_ms()
    }

    /// Returns when a usage window ends.
    pub fn end_of(&self, window: Window) -> UnixMillis {
        window
            .saturating_add(1)
            .saturating_mul(self.usage_window_ms())
    }

    fn usage_window_ms(&self) -> u64 {
        as_millis_u64(self.settings.bounds.usage_window).max(1)
    }

    /// Returns the counts of this process in the newest windows.
    pub fn own_usage(&self) -> Vec<(Window, Counts)> {
        let now = self.window_at(self.wall());
        let mut usage = self.usage.lock();
        usage.forget_before(now);
        usage
            .process_counts(self.incarnation, now.saturating_sub(3))
            .into_iter()
            .map(|(window, counts)| (window, counts.clone()))
            .collect()
    }

    /// Marks the view as complete up to a revision and wakes the tasks that wait for it.
    pub fn set_revision(&self, revision: Revision) {
        {
            let mut view = self.view.lock();
            view.revision = view.revision.max(revision);
        }
        self.revision
            .send_if_modified(|known| std::mem::replace(known, revision.max(*known)) < revision);
    }

    /// Returns the time for which the view has not been confirmed to be complete, or `None` if it never was.
    pub fn view_age(&self) -> Option<Duration> {
        self.contact.lock().view_age(self.now())
    }

    /// Returns what this node knows of the store.
    pub fn knowledge(&self) -> StoreKnowledge {
        StoreKnowledge {
            revision: self.view.lock().revision,
            config_version: self.table().map_or(0, |table| table.version),
        }
    }

    /// Returns the time since an era of the store began, in milliseconds, for other nodes; `None` if it is not the
    /// last known one.
    pub fn era_age_ms(&self, era: Era, now: Moment) -> Option<u64> {
        self.contact.lock().era_age(era, now).map(as_millis_u64)
    }

    /// Records the time since an era of the store began, in milliseconds, as another node reports it.
    pub fn record_era_age(&self, era: Era, age_ms: Option<u64>) {
        if let Some(age_ms) = age_ms {
            let now = self.now();
            let began_at = now.saturating_sub(Duration::from_millis(age_ms));
            self.contact.lock().record_era(era, began_at);
        }
    }

    /// Returns whether this node does not reach the back ends of a service.
    pub fn is_cut_off(&self) -> bool {
        self.reach.lock().cut_off().next().is_some()
    }

    /// Returns the number of known nodes.
    pub fn node_count(&self) -> usize {
        self.members.lock().count()
    }
}
