//! What callers receive for each kind of answer of a back end: whether the call has run, and who says so.
//!
//! Callers read some statuses as a guarantee that a call has not run and never will, and repeat the call. Only the back
//! end can give it, by a header of its own. An answer with such a status and without the header may come after the work.

use std::time::Duration;

use super::fixture::{Behaviour, fixture_with_node, header_value, numbered_call, total_runs};

/// Statuses that callers read as "not run".
const NOT_RUN_STATUSES: [u16; 4] = [408, 421, 429, 503];

/// A kind of route.
struct Route {
    path: &'static str,
    service: &'static str,
    may_repeat: bool,
}

const ROUTES: [Route; 4] = [
    Route {
        path: "/once/x",
        service: "plain",
        may_repeat: false,
    },
    Route {
        path: "/get/x",
        service: "plain",
        may_repeat: true,
    },
    Route {
        path: "/stream/x",
        service: "llm",
        may_repeat: false,
    },
    Route {
        path: "/resume/x",
        service: "llm",
        may_repeat: true,
    },
];

/// A final answer, as a caller receives it.
#[derive(Debug)]
struct Received {
    status: u16,
    is_signed: bool,
    retry_after: Option<String>,
    body: String,
}

impl Received {
    async fn from(call: reqwest::RequestBuilder) -> Self {
        let res = call.send().await.unwrap();
        Self {
            status: res.status().as_u16(),
            is_signed: res.headers().contains_key("x-jayhall-response-seal"),
            retry_after: header_value(&res, "retry-after"),
            body: res.text().await.unwrap(),
        }
    }

    /// Asserts that this is the gateway's own answer to a call that may have run.
    fn assert_may_have_run(&self, cx: &str) {
        assert_eq!(self.status, 502, "{cx}: {self:?}");
        assert!(!self.is_signed, "{cx}: {self:?}");
        assert!(self.body.contains("may_have_run"), "{cx}: {self:?}");
    }
}

/// Returns what the caller of a route receives if both back ends behave alike, and how often these have run the call.
async fn received_from_two(route: &Route, behaviour: Behaviour) -> (Received, usize) {
    let both = [behaviour.clone(), behaviour];
    let (fixture, node, backends) = fixture_with_node(route.service, &both).await;
    let received = Received::from(numbered_call(&fixture, &node, route.path)).await;
    (received, total_runs(&backends))
}

/// Guards against an order that is applied twice: a back end runs it and fails with a status that callers read as "not
/// run", the gateway passes this on, and the caller sends the order again.
#[tokio::test]
async fn a_status_that_means_not_run_is_passed_on_only_with_the_statement_of_the_back_end() {
    for status in NOT_RUN_STATUSES {
        for route in &ROUTES {
            let cx = format!("{status} {}", route.path);
            let (received, runs) =
                received_from_two(route, Behaviour::Answer(status, "failed")).await;
            received.assert_may_have_run(&cx);
            assert_eq!(received.retry_after, None, "{cx}");
            assert_eq!(runs, if route.may_repeat { 2 } else { 1 }, "{cx}");
        }
    }
}

/// Guards against the same of a call that another node forwards: that node passes on what it receives.
#[tokio::test]
async fn a_forwarded_call_that_may_have_run_is_marked_so() {
    for status in NOT_RUN_STATUSES {
        for route in &ROUTES {
            let cx = format!("{status} {}", route.path);
            let one = [Behaviour::Answer(status, "failed")];
            let (fixture, node, _backends) = fixture_with_node(route.service, &one).await;
            let res = fixture.forwarded_call(&node, route.path).send();
            let res = res.await.unwrap();
            let verdict = header_value(&res, "jayhall-verdict");
            assert_eq!(verdict.as_deref(), Some("may_have_run"), "{cx}: {res:?}");
            assert_eq!(res.status(), 502, "{cx}: {res:?}");
        }
    }
}

/// Guards against a failure of one back end that reaches callers whose call may be repeated, and against a second run of
/// those that may not.
#[tokio::test]
async fn a_call_whose_back_end_fails_as_if_not_run_is_repeated_only_where_it_may_be() {
    for status in NOT_RUN_STATUSES {
        for route in &ROUTES {
            let sound = match route.service {
                "llm" => Behaviour::Events {
                    to: 2,
                    ends_normally: true,
                },
                _ => Behaviour::Answer(200, "done"),
            };
            let pair = [Behaviour::Answer(status, "failed"), sound];
            let (fixture, node, backends) = fixture_with_node(route.service, &pair).await;
            // The first back end is chosen at random.
            for _ in 0..4 {
                let cx = format!("{status} {}", route.path);
                let failed_before = backends[0].runs();
                let runs_before = total_runs(&backends);
                let received = Received::from(numbered_call(&fixture, &node, route.path)).await;
                let has_failed = backends[0].runs() > failed_before;
                if has_failed && !route.may_repeat {
                    received.assert_may_have_run(&cx);
                } else {
                    assert_eq!(received.status, 200, "{cx}: {received:?}");
                }
                let runs = 1 + usize::from(has_failed && route.may_repeat);
                assert_eq!(total_runs(&backends) - runs_before, runs, "{cx}");
            }
        }
    }
}

/// Guards against a refusal that says "not run" of a call whose first back end may have run it, because the next one
/// declines it.
#[tokio::test]
async fn a_call_that_the_next_back_end_declines_may_have_run_at_the_first_one() {
    let firsts = [
        Behaviour::Answer(503, "failed"),
        Behaviour::Answer(429, "failed"),
        Behaviour::Disconnect,
        Behaviour::Unsigned,
        Behaviour::AnswerOther,
    ];
    for first in firsts {
        for route in &ROUTES {
            let cx = format!("{first:?} {}", route.path);
            let pair = [first.clone(), Behaviour::Decline];
            let (fixture, node, backends) = fixture_with_node(route.service, &pair).await;
            for _ in 0..3 {
                let before = total_runs(&backends);
                let received = Received::from(numbered_call(&fixture, &node, route.path)).await;
                match total_runs(&backends) - before {
                    // The first one is not tried for a while after it has closed a connection.
                    0 => assert_eq!(received.status, 503, "{cx}: {received:?}"),
                    _ => received.assert_may_have_run(&cx),
                }
            }
            assert_ne!(total_runs(&backends), 0, "{cx}");
        }
    }
}

/// Guards against the loss of refusals that are true: what the back end states holds with any status.
#[tokio::test]
async fn a_call_that_all_back_ends_state_they_did_not_run_is_refused_as_not_run() {
    for status in [400, 408, 421, 429, 500, 503] {
        for route in &ROUTES {
            let cx = format!("{status} {}", route.path);
            let (received, runs) = received_from_two(route, Behaviour::DeclineAs(status)).await;
            assert_eq!(received.status, 503, "{cx}: {received:?}");
            assert!(received.body.contains("not_run"), "{cx}: {received:?}");
            assert!(received.retry_after.is_some(), "{cx}: {received:?}");
            assert_eq!(runs, 0, "{cx}");
        }
    }
}

/// Guards against an answer that is replaced though its status says nothing of whether the call has run.
#[tokio::test]
async fn a_failure_whose_status_says_nothing_of_the_run_is_passed_on_unchanged() {
    for status in [302, 400, 404, 409, 413, 422, 431, 500, 502, 504] {
        for route in &ROUTES {
            let cx = format!("{status} {}", route.path);
            let (received, _) = received_from_two(route, Behaviour::Answer(status, "failed")).await;
            assert_eq!(received.status, status, "{cx}: {received:?}");
            assert!(received.is_signed, "{cx}: {received:?}");
            assert_eq!(received.body, "failed", "{cx}");
        }
    }
}

/// Guards against calls to a back end that has asked for none with a failure that does not say whether the call has run.
#[tokio::test]
async fn a_back_end_that_fails_gets_no_call_during_its_retry_after() {
    let (fixture, node, backends) = fixture_with_node("plain", &[Behaviour::FailFor(1.2)]).await;
    let received = Received::from(numbered_call(&fixture, &node, "/once/x")).await;
    received.assert_may_have_run("first call");
    for _ in 0..4 {
        let received = Received::from(numbered_call(&fixture, &node, "/once/x")).await;
        assert_eq!(received.status, 503, "{received:?}");
        assert!(received.body.contains("not_run"), "{received:?}");
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    assert_eq!(total_runs(&backends), 1);
}
