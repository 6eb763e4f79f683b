//! Figures of the decisions beside baselines, from small loops on injected time.

use jayhall_scenarios::service::{self, OrderPolicy};
use jayhall_scenarios::workload::{Mix, RUN};

/// Prints the figures.
pub(crate) fn run(_args: &[String]) -> eyre::Result<()> {
    let mixes = [
        ("steady 0.6", Mix::ordinary(0.6)),
        (
            "flood low",
            Mix {
                flood: [0.0, 0.0, 5.0],
                ..Mix::ordinary(0.6)
            },
        ),
        (
            "flood urgent",
            Mix {
                flood: [5.0, 0.0, 0.0],
                ..Mix::ordinary(0.6)
            },
        ),
        (
            "flood both",
            Mix {
                flood: [5.0, 0.0, 5.0],
                ..Mix::ordinary(0.6)
            },
        ),
        (
            "large caller",
            Mix {
                large_caller: 5.0,
                ..Mix::ordinary(0.6)
            },
        ),
        (
            "erratic",
            Mix {
                is_erratic: true,
                ..Mix::ordinary(1.5)
            },
        ),
        ("x1", Mix::ordinary(1.0)),
        ("x2", Mix::ordinary(2.0)),
        ("x5", Mix::ordinary(5.0)),
        ("x10", Mix::ordinary(10.0)),
    ];
    for (name, mix) in mixes {
        let arrivals = mix.draw(1);
        for policy in [
            OrderPolicy::Jayhall,
            OrderPolicy::NoAdmission,
            OrderPolicy::NoFloor,
            OrderPolicy::NoFairness,
            OrderPolicy::BlindEstimate,
            OrderPolicy::RawTokens,
            OrderPolicy::FirstCome,
        ] {
            let o = service::run(policy, &arrivals, RUN);
            print!("{name:12} {policy:?}: useful {:.0}%", o.useful_percent);
            for level in 0..3 {
                let t = o.rank(level);
                print!(
                    " | L{level} {:.1}% {:.0}s p99 {} ref {} exp {}",
                    t.in_time_percent(),
                    t.useful_seconds,
                    t.wait_percentile(99),
                    t.refused,
                    t.expired
                );
            }
            print!(" | cust");
            for c in 0..5 {
                print!(" {:.0}%", o.customer(c).in_time_percent());
            }
            println!();
        }
    }
    Ok(())
}
