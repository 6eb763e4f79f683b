//! Assignment of jobs to nodes by rendezvous hashing.
//!
//! There is no leader election: every node computes the owner of a job from the members that it knows,
//! and a membership change moves only the jobs of the changed member. Two nodes may compute different
//! owners while their views of the membership differ, so every user of this module has to tolerate
//! two owners.

mod homes;
mod roles;

pub use homes::Homes;
pub use roles::{home_of, replica_candidates, replica_of, shard_owner, successor_candidates};

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns the weight of `member` for `job`. The member with the largest weight owns the job.
pub fn weight(job: &str, member: &str) -> u64 {
    weight_of(xxh3_64_with_seed(job.as_bytes(), 0), member)
}

/// Returns the weight of `member` for a job identified by a hash.
pub fn weight_of(job: u64, member: &str) -> u64 {
    xxh3_64_with_seed(member.as_bytes(), job)
}

/// Returns the member that owns `job`, or `None` if there are no members.
pub fn owner<'a, I>(job: &str, members: I) -> Option<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    members
        .into_iter()
        .max_by_key(|member| (weight(job, member), *member))
}

/// Returns the members in descending order of their weight for `job`.
pub fn ranked<'a, I>(job: &str, members: I) -> Vec<&'a str>
where
    I: IntoIterator<Item = &'a str>,
{
    let mut weighted: Vec<_> = members
        .into_iter()
        .map(|member| (weight(job, member), member))
        .collect();
    weighted.sort_unstable_by(|a, b| b.cmp(a));
    weighted.into_iter().map(|(_, member)| member).collect()
}
