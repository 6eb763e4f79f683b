//! `record.txt`: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<BufWriter<File>>>,
    pub start: Instant,
}

impl Record {
    /// Opens `record.txt` in the folder that `CASE_DIR` names.
    pub fn open() -> Self {
        let dir = PathBuf::from(std::env::var("CASE_DIR").unwrap_or_else(|_| ".".into()));
        let file = File::create(dir.join("record.txt")).expect("record.txt can be written");
        Self { file: Arc::new(Mutex::new(BufWriter::new(file))), start: Instant::now() }
    }

    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub fn write(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} {}", self.now().as_secs_f64(), text.as_ref());
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{line}");
    }

    /// Writes a line and prints it, too.
    pub fn say(&self, text: impl AsRef<str>) {
        println!("{:9.3} {}", self.now().as_secs_f64(), text.as_ref());
        self.write(text);
        let _ = self.file.lock().unwrap().flush();
    }
}

/// Whether the disruption is to be made: `TROUBLE` is not 0.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}
