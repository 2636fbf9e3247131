//! The processes under test: started with the commands of the deploy file, ended by their ids.

use std::{
    fs::File,
    path::Path,
    process::{Child, Command, Stdio},
    sync::Mutex,
};

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;

/// The processes that have not been reaped.
static RUNNING: Mutex<Vec<i32>> = Mutex::new(Vec::new());

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// A process under test.
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a command of the deploy file with a settings file; its output goes to `log`.
    pub fn start(command: &[&str], settings: &Path, log: &Path) -> Result<Self, String> {
        let log = File::options().create(true).append(true).open(log);
        let log = log.map_err(|error| format!("can't open a log: {error}"))?;
        let copy = log.try_clone().map_err(|error| error.to_string())?;
        let mut program = Command::new(command[0]);
        program.args(&command[1..]);
        program.env_clear().env("MALLOWPATH_BOOT", settings);
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                program.env(name, value);
            }
        }
        program.stdin(Stdio::null()).stdout(log).stderr(copy);
        let child = program
            .spawn()
            .map_err(|error| format!("can't start {}: {error}", command[0]))?;
        RUNNING.lock().unwrap().push(id_of(&child));
        Ok(Self { child })
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: i32) {
        // SAFETY: the process was started here and is not reaped before `wait`.
        unsafe { kill(id_of(&self.child), signal) };
    }

    /// Kills the process and waits for its end.
    pub fn kill(mut self) {
        self.signal(SIGKILL);
        self.wait();
    }

    /// Waits for the end of the process.
    pub fn wait(&mut self) {
        let _ = self.child.wait();
        let id = id_of(&self.child);
        RUNNING.lock().unwrap().retain(|running| *running != id);
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

fn id_of(child: &Child) -> i32 {
    i32::try_from(child.id()).expect("a process id")
}

/// Kills all processes that were started and not waited for.
pub fn kill_all() {
    for id in RUNNING.lock().unwrap().drain(..) {
        // SAFETY: the process was started here and has not been reaped.
        unsafe { kill(id, SIGKILL) };
    }
}
