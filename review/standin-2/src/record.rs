//! The record of a case: what was sent, answered and run.

use std::{
    fs::File,
    io::{self, Write},
    path::Path,
    sync::{Arc, Mutex},
};

use crate::clock::elapsed;

/// A record that several threads write to; clones share the file.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>);

impl Record {
    pub fn create(folder: &Path) -> io::Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self(Arc::new(Mutex::new(file))))
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let seconds = elapsed().as_secs_f64();
        let mut file = self.0.lock().unwrap();
        // Without its record, the case is still judged.
        let _ = writeln!(file, "{seconds:9.3} {text}");
    }
}
