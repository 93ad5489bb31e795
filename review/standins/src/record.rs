//! What was sent, answered and run, with the time since the start of the case.

use std::{
    fs::File,
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

/// A record that all threads of a case write to.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    began: Instant,
}

impl Record {
    /// Creates `record.txt` in a folder.
    pub fn create(folder: &Path) -> Result<Self, String> {
        let file = File::create(folder.join("record.txt")).map_err(|e| e.to_string())?;
        Ok(Self { file: Arc::new(Mutex::new(file)), began: Instant::now() })
    }

    /// Returns the time since the start of the case.
    pub fn elapsed(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes a line.
    pub fn line(&self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("no holder of the lock panics");
        let _ = writeln!(file, "{at:8.3} {text}");
    }
}
