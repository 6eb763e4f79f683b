//! Promises under failure, with real processes on loopback.
//!
//! Each file is a case: the load, the failures with their times, and what has to hold. Files below
//! `promise_*` belong to the promise of that name.

mod calls;
mod case;
mod expect;
mod inject;
mod run;
mod slots;

datatest_stable::harness! {
    {
        test = run::case_holds,
        root = "tests/promises",
        pattern = r".*\.ini$",
    },
    {
        test = calls::case_holds,
        root = "tests/promises",
        pattern = r".*\.calls$",
    },
}
