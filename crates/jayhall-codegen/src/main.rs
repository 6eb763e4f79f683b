//! Writes the code of the peer protocol, so that the build itself needs no generator.
//!
//! A crate of its own, since everything else needs the code that it writes.

use std::path::Path;

use eyre::{Result, WrapErr};

fn main() -> Result<()> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../jayhall-wire");
    let out = root.join("src/generated");
    std::fs::create_dir_all(&out).wrap_err("creating the folder of generated code")?;
    let files =
        protox::compile(["peer.proto"], [root.join("proto")]).wrap_err("compiling peer.proto")?;
    tonic_prost_build::configure()
        .out_dir(&out)
        .emit_rerun_if_changed(false)
        .compile_fds(files)
        .wrap_err("generating code for peer.proto")?;
    Ok(())
}
