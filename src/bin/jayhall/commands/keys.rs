//! `jayhall keys`

use jayhall::core::document::sections::digest;
use jayhall::operators::wire::{AddKeyBody, KeysBody};
use jayhall::util::value::format_hash;
use rand::RngExt;
use serde_json::json;

use super::print;
use crate::failure::Failure;
use crate::options::CommandLine;

/// Number of random bytes in a key.
const KEY_BYTES: usize = 32;

/// A generated key and its hash; only the hash is sent to a node.
struct NewKey {
    key: String,
    hash: String,
}

pub(super) async fn run(line: &CommandLine) -> Result<(), Failure> {
    match line.all_arguments().as_slice() {
        ["new"] => show_new(line),
        ["list", customer] => {
            let keys = line.client()?.keys(customer).await?;
            print(line, &keys, list)
        }
        ["add", customer] => add(line, customer).await,
        ["revoke", customer, hash] => {
            let client = line.client()?;
            let keys = client.revoke_key(customer, hash, &line.author()).await?;
            print(line, &keys, |keys| {
                format!(
                    "revoked with revision {}; left are:\n{}",
                    keys.revision,
                    list(keys)
                )
            })
        }
        _ => Err(line.wrong_arguments()),
    }
}

fn show_new(line: &CommandLine) -> Result<(), Failure> {
    let new = make();
    print(line, &json!({"key": new.key, "hash": new.hash}), |_| {
        format!("key  {}\nhash {}\n", new.key, new.hash)
    })
}

async fn add(line: &CommandLine, customer: &str) -> Result<(), Failure> {
    let new = make();
    let body = AddKeyBody {
        hash: new.hash.as_str().into(),
        author: line.author().into(),
    };
    let keys = line.client()?.add_key(customer, &body).await?;
    let shown = json!({"key": new.key, "hash": new.hash, "revision": keys.revision});
    print(line, &shown, |_| {
        format!(
            "key  {}\nhash {}\nin force with revision {}; the key is not shown again\n",
            new.key, new.hash, keys.revision
        )
    })
}

fn make() -> NewKey {
    let bytes: [u8; KEY_BYTES] = rand::rng().random();
    let key = format!("jh_{}", hex::encode(bytes));
    let hash = format_hash(&digest(&key));
    NewKey { key, hash }
}

fn list(keys: &KeysBody) -> String {
    keys.keys.iter().map(|hash| format!("{hash}\n")).collect()
}
