//! Tests whose cases are table files.

mod documents;
mod ledger;

datatest_stable::harness! {
    {
        test = documents::document_has_the_expected_problems,
        root = "tests/tables/documents",
        pattern = r".*\.ini$",
    },
    {
        test = documents::settings_have_the_expected_problems,
        root = "tests/tables/settings",
        pattern = r".*\.ini$",
    },
    {
        test = ledger::store_fault_has_the_expected_end,
        root = "tests/tables/ledger",
        pattern = r".*\.ini$",
    },
}
