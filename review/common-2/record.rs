//! The record of what was sent, answered and run.

use std::{
    fs::File,
    io::{BufWriter, Write},
    sync::Mutex,
    time::Instant,
};

pub struct Record {
    file: Mutex<BufWriter<File>>,
    pub started: Instant,
}

impl Record {
    pub fn create(path: &str) -> std::io::Result<Self> {
        let file = Mutex::new(BufWriter::new(File::create(path)?));
        Ok(Self { file, started: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{at:8.3} s  {text}");
        let _ = file.flush();
    }

    /// Also prints the line.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}
