//! The front end as a process of its own.

use super::*;
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};

/// The front end, started as a process of its own by the deploy file's `run` command.
pub struct FrontEnd {
    child: Child,
    pub listen: SocketAddr,
    folder: PathBuf,
}

impl FrontEnd {
    /// Starts the front end with this configuration. `{LISTEN}` in the text stands for its address.
    /// Fails if the front end does not accept connections, of `mysql` if that is given, within 10 s.
    pub fn start(config: &str, mysql: Option<SocketAddr>) -> Result<FrontEnd, String> {
        FrontEnd::start_with(config, mysql, None)
    }

    /// Like `start`, with an operator's file.
    pub fn start_with(
        config: &str,
        mysql: Option<SocketAddr>,
        operator: Option<&str>,
    ) -> Result<FrontEnd, String> {
        let folder = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), rid()));
        std::fs::create_dir_all(&folder).unwrap();
        let listen: SocketAddr = format!("127.0.0.1:{}", free_port()).parse().unwrap();
        let path = folder.join("config.json");
        std::fs::write(&path, config.replace("{LISTEN}", &listen.to_string())).unwrap();
        let run = std::env::var("RUN_COMMAND").expect("run.sh passes the deploy file's run command");
        let root = std::env::var("PROJECT_ROOT").expect("run.sh passes the project's folder");
        let log = File::create(std::env::var("FRONT_END_LOG").unwrap_or("/dev/null".into())).unwrap();
        let mut command = Command::new("/bin/sh");
        if let Some(operator) = operator {
            command.env("BEAMGAP_OPERATOR", operator);
        }
        let child = command
            .args(["-c", &run])
            .current_dir(root)
            .env("NODE_NAME", "n1")
            .env("NODE_CONFIG", &path)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the front end can be started");
        record(&format!("front end: started, pid={} listen={listen}", child.id()));
        let ready = mysql.unwrap_or(listen);
        let mut front_end = FrontEnd { child, listen, folder };
        let up = wait_for(10_000, || front_end.ended().is_some() || TcpStream::connect(ready).is_ok());
        match front_end.ended() {
            None if up => Ok(front_end),
            _ => Err("the front end does not accept connections within 10 s".to_owned()),
        }
    }

    pub fn signal(&self, name: &str) {
        record(&format!("front end: SIG{name} sent"));
        let kill = format!("kill -s {name} {}", self.child.id());
        let _ = Command::new("/bin/sh").args(["-c", &kill]).status();
    }

    /// The exit status, if the process has ended.
    pub fn ended(&mut self) -> Option<String> {
        self.child.try_wait().ok().flatten().map(|status| status.to_string())
    }
}

impl Drop for FrontEnd {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_dir_all(&self.folder);
        record("front end: ended by the case");
    }
}
