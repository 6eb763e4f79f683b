//! `jayhall keys`

use jayhall::core::document::sections::digest;
use jayhall::operators::wire::{AddKeyBody, KeysBody};
use jayhall::util::value::format_hash;
use rand::RngExt;
use serde_json::json;

use super::print_body;
use crate::failure::Failure;
use crate::options::CommandLine;

/// Number of random bytes in a key.
const KEY_BYTES: usize = 32;

/// A generated key and its hash; only the hash is sent to a node.
struct NewKey {
    key: String,
    hash: String,
}

pub(super) async fn run(command_line: &CommandLine) -> Result<(), Failure> {
    match command_line.all_arguments().as_slice() {
        ["new"] => print_new_key(command_line),
        ["list", customer] => {
            let keys = command_line.client()?.keys(customer).await?;
            print_body(command_line, &keys, format_keys)
        }
        ["add", customer] => add_key(command_line, customer).await,
        ["revoke", customer, hash] => {
            let client = command_line.client()?;
            let keys = client
                .revoke_key(customer, hash, &command_line.author())
                .await?;
            print_body(command_line, &keys, |keys| {
                format!(
                    "revoked with revision {}; left are:\n{}",
                    keys.revision,
                    format_keys(keys)
                )
            })
        }
        _ => Err(command_line.usage_error()),
    }
}

fn print_new_key(command_line: &CommandLine) -> Result<(), Failure> {
    let new = generate_key();
    print_body(
        command_line,
        &json!({"key": new.key, "hash": new.hash}),
        |_| format!("key  {}\nhash {}\n", new.key, new.hash),
    )
}

async fn add_key(command_line: &CommandLine, customer: &str) -> Result<(), Failure> {
    let new = generate_key();
    let body = AddKeyBody {
        hash: new.hash.as_str().into(),
        author: command_line.author().into(),
    };
    let keys = command_line.client()?.add_key(customer, &body).await?;
    let shown = json!({"key": new.key, "hash": new.hash, "revision": keys.revision});
    print_body(command_line, &shown, |_| {
        format!(
            "key  {}\nhash {}\nin force with revision {}; the key is not shown again\n",
            new.key, new.hash, keys.revision
        )
    })
}

fn generate_key() -> NewKey {
    let bytes: [u8; KEY_BYTES] = rand::rng().random();
    let key = format!("jh_{}", hex::encode(bytes));
    let hash = format_hash(&digest(&key));
    NewKey { key, hash }
}

fn format_keys(keys: &KeysBody) -> String {
    keys.keys.iter().map(|hash| format!("{hash}\n")).collect()
}
