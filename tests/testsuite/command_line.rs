//! The operators' command line, run against a node that listens on loopback.

use std::path::{Path, PathBuf};
use std::process::Output;

use jayhall::core::id::Address;
use salvo::conn::tcp::TcpAcceptor;
use salvo::{Listener, Server, conn::TcpListener};
use tokio::process::Command;

use crate::operators::{Desk, OPERATOR_KEY};
use crate::promise_config::cluster::text;

/// A node that listens on loopback, and a temporary directory for files.
struct Bench {
    desk: Desk,
    address: Address,
    dir: tempfile::TempDir,
}

impl Bench {
    async fn start() -> Self {
        let mut desk = Desk::start();
        let acceptor: TcpAcceptor = TcpListener::new("127.0.0.1:0").bind().await;
        let address = acceptor.local_addr().unwrap();
        let service =
            std::mem::replace(&mut desk.service, salvo::Service::new(salvo::Router::new()));
        tokio::spawn(Server::new(acceptor).serve(service));
        let bench = Self {
            desk,
            address,
            dir: tempfile::tempdir().unwrap(),
        };
        bench.write("key", OPERATOR_KEY);
        bench
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    async fn run(&self, args: &[&str]) -> Run {
        run(args, &self.address.to_string(), &self.path("key")).await
    }
}

/// Exit code and output of a command.
#[derive(Debug)]
struct Run {
    code: i32,
    out: String,
    err: String,
}

async fn run(args: &[&str], node: &str, key: &Path) -> Run {
    let output: Output = Command::new(env!("CARGO_BIN_EXE_jayhall"))
        .args(args)
        .env("JAYHALL_NODE", node)
        .env("JAYHALL_KEY_FILE", key)
        .env("USER", "hana")
        .output()
        .await
        .unwrap();
    Run {
        code: output.status.code().unwrap(),
        out: String::from_utf8(output.stdout).unwrap(),
        err: String::from_utf8(output.stderr).unwrap(),
    }
}

fn path_text(path: &Path) -> &str {
    path.to_str().unwrap()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_is_checked_published_shown_and_compared() {
    let bench = Bench::start().await;
    let good = bench.write("good.ini", &text(2, 1));
    let good = path_text(&good);
    let checked = bench.run(&["check", good]).await;
    assert_eq!(checked.code, 0, "{checked:?}");
    assert!(
        checked
            .out
            .ends_with("no mistakes; 1 ranks, 0 models, 0 services, 2 customers\n")
    );
    let first = bench.run(&["publish", good]).await;
    assert_eq!(
        (first.code, &*first.out),
        (0, "published as revision 1\n"),
        "{first:?}"
    );
    // The file has no `; revision` comment, so its base revision is unknown.
    let unclear = bench.run(&["publish", good]).await;
    assert_eq!(unclear.code, 2, "{unclear:?}");

    let shown = bench.run(&["show"]).await;
    assert!(
        shown.out.starts_with("; revision 1\n[rank only]\n"),
        "{shown:?}"
    );
    let one = bench.write("one.ini", &shown.out.replace("weight = 1", "weight = 2"));
    let other = bench.write("other.ini", &shown.out.replace("weight = 1", "weight = 3"));
    assert_eq!(bench.run(&["publish", path_text(&one)]).await.code, 0);
    let late = bench.run(&["publish", path_text(&other)]).await;
    assert_eq!(late.code, 4, "{late:?}");
    assert!(late.err.contains("-weight = 2\n+weight = 3\n"), "{late:?}");
    let diff = bench.run(&["diff", "1", "2"]).await;
    assert!(diff.out.contains("-weight = 1\n+weight = 2\n"), "{diff:?}");
    let history = bench.run(&["history"]).await;
    assert_eq!(history.out.lines().count(), 3, "{history:?}");
    assert!(history.out.contains("hana (key "), "{history:?}");
    let old = bench.run(&["show", "--revision", "1", "--json"]).await;
    let old: serde_json::Value = serde_json::from_str(&old.out).unwrap();
    assert_eq!(old["revision"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn exit_codes_tell_failures_apart() {
    let bench = Bench::start().await;
    let wrong = bench.write("wrong.ini", "[rank a]\nlevel = high\n");
    let good = bench.write("good.ini", &text(1, 1));
    let invalid = bench.run(&["check", path_text(&wrong)]).await;
    assert_eq!(invalid.code, 3);
    assert!(
        invalid.err.contains("wrong.ini: line 2, [rank a] level: "),
        "{invalid:?}"
    );
    assert_eq!(bench.run(&["publish", path_text(&wrong)]).await.code, 3);
    for args in [
        &["shout"][..],
        &[],
        &["show", "all"],
        &["show", "--wait"],
        &["show", "--node", "localhost"],
        &["check", "no-such-file.ini"],
    ] {
        assert_eq!(bench.run(args).await.code, 2, "{args:?}");
    }
    assert_eq!(bench.run(&["explain", "r2"]).await.code, 7);
    let other_key = bench.write("other-key", "guess");
    let args = ["status", "--key-file", path_text(&other_key)];
    assert_eq!(bench.run(&args).await.code, 8);
    let port_without_listener = run(&["status"], "127.0.0.1:1", &bench.path("key")).await;
    assert_eq!(port_without_listener.code, 5, "{port_without_listener:?}");
    bench
        .desk
        .store
        .set_fault(Some(jayhall::sources::store::Fault::NotReached));
    assert_eq!(bench.run(&["publish", path_text(&good)]).await.code, 5);
    assert_eq!(bench.run(&["history"]).await.code, 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_shown_once_and_only_its_hash_is_kept() {
    let bench = Bench::start().await;
    let good = bench.write("good.ini", &text(2, 1));
    bench.run(&["publish", path_text(&good)]).await;
    let added = bench.run(&["keys", "add", "customer-1", "--json"]).await;
    assert_eq!(added.code, 0, "{added:?}");
    let added: serde_json::Value = serde_json::from_str(&added.out).unwrap();
    let (key, hash) = (
        added["key"].as_str().unwrap(),
        added["hash"].as_str().unwrap(),
    );
    let shown = bench.run(&["show"]).await.out;
    assert!(shown.contains(hash) && !shown.contains(key));
    let digest = jayhall::core::document::sections::digest(key);
    assert_eq!(hash, jayhall::util::value::format_hash(&digest));
    assert_eq!(
        bench
            .run(&["keys", "list", "customer-1"])
            .await
            .out
            .lines()
            .count(),
        2
    );
    let revoked = bench.run(&["keys", "revoke", "customer-1", hash]).await;
    assert_eq!(revoked.code, 0, "{revoked:?}");
    assert!(!bench.run(&["show"]).await.out.contains(hash));
}

#[tokio::test(flavor = "multi_thread")]
async fn status_explanation_top_and_help_are_readable() {
    let bench = Bench::start().await;
    let status = bench.run(&["status"]).await;
    assert!(status.out.contains("NODE   VM"), "{status:?}");
    assert!(status.out.contains("contracts  urgent  3"), "{status:?}");
    let explained = bench.run(&["explain", "r1"]).await;
    assert!(
        explained
            .out
            .contains("- It was refused, because its <deadline>"),
        "{explained:?}"
    );
    let top = bench.run(&["top", "--count", "1"]).await;
    assert_eq!(top.code, 0, "{top:?}");
    let help = bench.run(&["--help"]).await;
    assert_eq!(help.code, 0);
    for command in [
        "check", "publish", "show", "history", "diff", "status", "explain", "drain",
    ] {
        assert!(help.out.contains(command), "{command}");
        let of_command = bench.run(&[command, "--help"]).await;
        assert!(of_command.out.contains("Example:"), "{of_command:?}");
    }
    for shell in ["bash", "fish"] {
        let script = bench.run(&["completion", shell]).await;
        assert!(script.out.contains("publish"), "{script:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drain_goes_to_the_node_that_is_named() {
    let bench = Bench::start().await;
    let board = &bench.desk.cluster.nodes[0].blackboard;
    board.members.update(|view| {
        let mut view = view.clone();
        view.members[0].operator_address = bench.address;
        Some(view)
    });
    let drained = bench.run(&["drain", "vm0000"]).await;
    assert_eq!(drained.code, 0, "{drained:?}");
    assert_eq!(*bench.desk.control.drained.lock(), 1);
    assert_eq!(bench.run(&["drain", "vm999"]).await.code, 2);
}
