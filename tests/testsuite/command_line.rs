//! The operators' command line, run against a node that listens on loopback.

use std::path::{Path, PathBuf};
use std::process::Output;

use jayhall::core::id::Address;
use salvo::conn::tcp::TcpAcceptor;
use salvo::{Listener, Server, conn::TcpListener};
use tokio::process::Command;

use crate::operators::{OPERATOR_KEY, OperatorNode};
use crate::promise_config::cluster::text;

/// A node that listens on loopback, and a temporary directory for files.
struct CliFixture {
    node: OperatorNode,
    address: Address,
    dir: tempfile::TempDir,
}

impl CliFixture {
    async fn start() -> Self {
        let mut node = OperatorNode::start();
        let acceptor: TcpAcceptor = TcpListener::new("127.0.0.1:0").bind().await;
        let address = acceptor.local_addr().unwrap();
        let service =
            std::mem::replace(&mut node.service, salvo::Service::new(salvo::Router::new()));
        tokio::spawn(Server::new(acceptor).serve(service));
        let fixture = Self {
            node,
            address,
            dir: tempfile::tempdir().unwrap(),
        };
        fixture.write("key", OPERATOR_KEY);
        fixture
    }

    fn path(&self, name: &str) -> PathBuf {
        self.dir.path().join(name)
    }

    fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.path(name);
        std::fs::write(&path, text).unwrap();
        path
    }

    async fn run(&self, args: &[&str]) -> CommandOutput {
        run(args, &self.address.to_string(), &self.path("key")).await
    }
}

/// Exit code and output of a command.
#[derive(Debug)]
struct CommandOutput {
    code: i32,
    out: String,
    err: String,
}

async fn run(args: &[&str], node: &str, key: &Path) -> CommandOutput {
    let output: Output = Command::new(env!("CARGO_BIN_EXE_jayhall"))
        .args(args)
        .env("JAYHALL_NODE", node)
        .env("JAYHALL_KEY_FILE", key)
        .env("USER", "hana")
        .output()
        .await
        .unwrap();
    CommandOutput {
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
    let fixture = CliFixture::start().await;
    let good = fixture.write("good.ini", &text(2, 1));
    let good = path_text(&good);
    let checked = fixture.run(&["check", good]).await;
    assert_eq!(checked.code, 0, "{checked:?}");
    assert!(
        checked
            .out
            .ends_with("no mistakes; 1 ranks, 0 models, 0 services, 2 customers\n")
    );
    let first = fixture.run(&["publish", good]).await;
    assert_eq!(
        (first.code, &*first.out),
        (0, "published as revision 1\n"),
        "{first:?}"
    );
    // The file has no `; revision` comment, so its base revision is unknown.
    let unclear = fixture.run(&["publish", good]).await;
    assert_eq!(unclear.code, 2, "{unclear:?}");

    let shown = fixture.run(&["show"]).await;
    assert!(
        shown.out.starts_with("; revision 1\n[rank only]\n"),
        "{shown:?}"
    );
    let one = fixture.write("one.ini", &shown.out.replace("weight = 1", "weight = 2"));
    let other = fixture.write("other.ini", &shown.out.replace("weight = 1", "weight = 3"));
    assert_eq!(fixture.run(&["publish", path_text(&one)]).await.code, 0);
    let late = fixture.run(&["publish", path_text(&other)]).await;
    assert_eq!(late.code, 4, "{late:?}");
    assert!(late.err.contains("-weight = 2\n+weight = 3\n"), "{late:?}");
    let diff = fixture.run(&["diff", "1", "2"]).await;
    assert!(diff.out.contains("-weight = 1\n+weight = 2\n"), "{diff:?}");
    let history = fixture.run(&["history"]).await;
    assert_eq!(history.out.lines().count(), 3, "{history:?}");
    assert!(history.out.contains("hana (key "), "{history:?}");
    let old = fixture.run(&["show", "--revision", "1", "--json"]).await;
    let old: serde_json::Value = serde_json::from_str(&old.out).unwrap();
    assert_eq!(old["revision"], 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn failures_have_distinct_exit_codes() {
    let fixture = CliFixture::start().await;
    let wrong = fixture.write("wrong.ini", "[rank a]\nlevel = high\n");
    let good = fixture.write("good.ini", &text(1, 1));
    let invalid = fixture.run(&["check", path_text(&wrong)]).await;
    assert_eq!(invalid.code, 3);
    assert!(
        invalid.err.contains("wrong.ini: line 2, [rank a] level: "),
        "{invalid:?}"
    );
    assert_eq!(fixture.run(&["publish", path_text(&wrong)]).await.code, 3);
    for args in [
        &["shout"][..],
        &[],
        &["show", "all"],
        &["show", "--wait"],
        &["show", "--node", "localhost"],
        &["check", "no-such-file.ini"],
    ] {
        assert_eq!(fixture.run(args).await.code, 2, "{args:?}");
    }
    assert_eq!(fixture.run(&["explain", "r2"]).await.code, 7);
    let in_force = fixture.write("now.json", r#"{"version":1}"#);
    let next = fixture.write("next.json", r#"{"version":2,"services":[{"name":"s"}]}"#);
    let (in_force, next) = (path_text(&in_force), path_text(&next));
    let args = ["check", "--gateway", next, "--in-force", in_force];
    let checked = fixture.run(&args).await;
    assert_eq!(checked.code, 0, "{checked:?}");
    assert!(checked.out.contains("+ service s\n"), "{checked:?}");
    for (args, code) in [
        (&["check", "--gateway", in_force, "--in-force", next][..], 3),
        (&["check", "--gateway", path_text(&good)], 3),
        (&["check", "--in-force", in_force, path_text(&good)], 2),
    ] {
        assert_eq!(fixture.run(args).await.code, code, "{args:?}");
    }
    let other_key = fixture.write("other-key", "guess");
    let args = ["status", "--key-file", path_text(&other_key)];
    assert_eq!(fixture.run(&args).await.code, 8);
    let port_without_listener = run(&["status"], "127.0.0.1:1", &fixture.path("key")).await;
    assert_eq!(port_without_listener.code, 5, "{port_without_listener:?}");
    fixture
        .node
        .store
        .set_fault(Some(jayhall::sources::store::Fault::NotReached));
    assert_eq!(fixture.run(&["publish", path_text(&good)]).await.code, 5);
    assert_eq!(fixture.run(&["history"]).await.code, 5);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_key_is_shown_once_and_only_its_hash_is_kept() {
    let fixture = CliFixture::start().await;
    let good = fixture.write("good.ini", &text(2, 1));
    fixture.run(&["publish", path_text(&good)]).await;
    let added = fixture.run(&["keys", "add", "customer-1", "--json"]).await;
    assert_eq!(added.code, 0, "{added:?}");
    let added: serde_json::Value = serde_json::from_str(&added.out).unwrap();
    let (key, hash) = (
        added["key"].as_str().unwrap(),
        added["hash"].as_str().unwrap(),
    );
    let shown = fixture.run(&["show"]).await.out;
    assert!(shown.contains(hash) && !shown.contains(key));
    let digest = jayhall::core::document::sections::digest(key);
    assert_eq!(hash, jayhall::util::value::format_hash(&digest));
    assert_eq!(
        fixture
            .run(&["keys", "list", "customer-1"])
            .await
            .out
            .lines()
            .count(),
        2
    );
    let revoked = fixture.run(&["keys", "revoke", "customer-1", hash]).await;
    assert_eq!(revoked.code, 0, "{revoked:?}");
    assert!(!fixture.run(&["show"]).await.out.contains(hash));
}

#[tokio::test(flavor = "multi_thread")]
async fn status_explanation_top_and_help_are_readable() {
    let fixture = CliFixture::start().await;
    let status = fixture.run(&["status"]).await;
    assert!(status.out.contains("NODE   VM"), "{status:?}");
    assert!(status.out.contains("contracts  urgent  3"), "{status:?}");
    let explained = fixture.run(&["explain", "r1"]).await;
    assert!(
        explained
            .out
            .contains("- It was refused, because its <deadline>"),
        "{explained:?}"
    );
    let top = fixture.run(&["top", "--count", "1"]).await;
    assert_eq!(top.code, 0, "{top:?}");
    let help = fixture.run(&["--help"]).await;
    assert_eq!(help.code, 0);
    for command in [
        "check", "publish", "show", "history", "diff", "status", "explain", "drain",
    ] {
        assert!(help.out.contains(command), "{command}");
        let of_command = fixture.run(&[command, "--help"]).await;
        assert!(of_command.out.contains("Example:"), "{of_command:?}");
    }
    for shell in ["bash", "fish"] {
        let script = fixture.run(&["completion", shell]).await;
        assert!(script.out.contains("publish"), "{script:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_is_sent_to_the_named_node() {
    let fixture = CliFixture::start().await;
    let board = &fixture.node.cluster.nodes[0].blackboard;
    board.members.update(|view| {
        let mut view = view.clone();
        view.members[0].operator_address = fixture.address;
        Some(view)
    });
    let drained = fixture.run(&["drain", "vm0000"]).await;
    assert_eq!(drained.code, 0, "{drained:?}");
    assert_eq!(*fixture.node.control.drained.lock(), 1);
    assert_eq!(fixture.run(&["drain", "vm999"]).await.code, 2);
}
