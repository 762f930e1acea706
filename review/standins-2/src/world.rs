//! What all cases share: a temporary folder, free ports, the project's processes, the record and the exit code.

use std::fs;
use std::io::Write;
use std::net::TcpListener;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Result of a case: whether the rule held, with the findings in words.
pub struct Verdict {
    pub held: bool,
    pub text: String,
}

/// Why a case could not run.
pub type Outcome = Result<Verdict, String>;

/// The record of a case, shared by its threads.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    file: Arc<Mutex<fs::File>>,
}

impl Record {
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.start.elapsed().as_secs_f64() * 1000.0;
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{ms:10.1} {}", text.as_ref());
        }
    }
    /// Milliseconds since the start of the case.
    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }
}

pub struct World {
    pub root: PathBuf,
    pub temp: PathBuf,
    pub trouble: bool,
    pub record: Record,
    children: Vec<(String, Child)>,
    process_ids: Arc<Mutex<Vec<u32>>>,
}

impl World {
    pub fn new(case: &Path) -> Result<World, String> {
        let root = case.join("../..").canonicalize().map_err(|e| format!("root: {e}"))?;
        let nanos = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_nanos();
        let temp = std::env::temp_dir().join(format!("beamgap-review-2-{}-{nanos}", std::process::id()));
        fs::create_dir_all(&temp).map_err(|e| format!("temporary folder: {e}"))?;
        let file = fs::File::create(case.join("record.txt")).map_err(|e| format!("record: {e}"))?;
        let record = Record { start: Instant::now(), file: Arc::new(Mutex::new(file)) };
        let trouble = std::env::var("TROUBLE").map_or(true, |v| v != "0");
        record.line(format!("begin trouble={}", u8::from(trouble)));
        Ok(World { root, temp, trouble, record, children: Vec::new(), process_ids: Arc::default() })
    }

    pub fn write(&self, name: &str, text: &str) -> Result<PathBuf, String> {
        let path = self.temp.join(name);
        fs::write(&path, text).map_err(|e| format!("{name}: {e}"))?;
        Ok(path)
    }

    /// Starts one front end with the `run` command of the deploy file, from the project's root.
    pub fn front_end(&mut self, name: &str, env: &[(&str, String)]) -> Result<u32, String> {
        if !self.root.join("target/release/beamgap").exists() {
            return Err("target/release/beamgap is missing: run the build of deploy/balancer.toml".into());
        }
        let scratch = self.temp.join(format!("{name}-tmp"));
        fs::create_dir_all(&scratch).map_err(|e| e.to_string())?;
        let log = fs::File::create(self.temp.join(format!("{name}.log"))).map_err(|e| e.to_string())?;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg("exec target/release/beamgap").current_dir(&self.root);
        command.env("TMPDIR", &scratch).env("NODE_NAME", name).env_remove("BEAMGAP_OPERATOR");
        for (key, value) in env {
            command.env(key, value);
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log);
        let child = command.spawn().map_err(|e| format!("{name}: {e}"))?;
        let id = child.id();
        self.record.line(format!("start {name} pid={id}"));
        self.children.push((name.to_owned(), child));
        if let Ok(mut ids) = self.process_ids.lock() {
            ids.push(id);
        }
        Ok(id)
    }

    /// Ends everything with exit code 2 if the case takes longer than it may.
    pub fn end_after(&self, most: Duration) {
        let (ids, record, temp) = (self.process_ids.clone(), self.record.clone(), self.temp.clone());
        std::thread::spawn(move || {
            std::thread::sleep(most);
            record.line("could not run: it took too long");
            for id in ids.lock().map(|ids| ids.clone()).unwrap_or_default() {
                let _ = Command::new("/bin/sh").arg("-c").arg(format!("kill -9 {id}")).status();
            }
            let _ = fs::remove_dir_all(&temp);
            std::process::exit(2);
        });
    }

    /// Kills a front end outright.
    pub fn kill(&mut self, name: &str) {
        for (own, child) in &mut self.children {
            if own == name {
                let _ = child.kill();
                let _ = child.wait();
                if let Ok(mut ids) = self.process_ids.lock() {
                    ids.retain(|id| *id != child.id());
                }
                self.record.line(format!("killed {name}"));
            }
        }
    }

    /// An error if a front end has ended by itself.
    pub fn all_run(&mut self) -> Result<(), String> {
        let mut gone = None;
        for (name, child) in &mut self.children {
            if let Ok(Some(status)) = child.try_wait() {
                gone = Some(format!("{name} has ended: {status}"));
            }
        }
        gone.map_or(Ok(()), Err)
    }

    /// Runs one of the program's commands to its end and returns its exit code and output.
    pub fn command(&self, args: &[&str]) -> Result<(i32, String), String> {
        let program = self.root.join("target/release/beamgap");
        let out = Command::new(program).args(args).output().map_err(|e| e.to_string())?;
        let text = String::from_utf8_lossy(&out.stdout).into_owned() + &String::from_utf8_lossy(&out.stderr);
        self.record.line(format!("command {args:?} exit={:?} {}", out.status.code(), text.trim()));
        Ok((out.status.code().unwrap_or(-1), text))
    }

    /// Ends all processes and removes the temporary folder. The ends of the logs go into the record.
    pub fn close(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
        }
        for (name, _) in std::mem::take(&mut self.children) {
            let text = fs::read_to_string(self.temp.join(format!("{name}.log"))).unwrap_or_default();
            let lines: Vec<&str> = text.lines().collect();
            for line in &lines[lines.len().saturating_sub(40)..] {
                self.record.line(format!("log {name}: {line}"));
            }
        }
        let _ = fs::remove_dir_all(&self.temp);
    }
}

impl Drop for World {
    fn drop(&mut self) {
        self.close();
    }
}

/// Ports of the loopback address that were free a moment ago.
pub fn free_ports(count: usize) -> Result<Vec<u16>, String> {
    let held: Vec<TcpListener> = (0..count)
        .map(|_| TcpListener::bind("127.0.0.1:0"))
        .collect::<Result<_, _>>()
        .map_err(|e| e.to_string())?;
    held.iter().map(|l| l.local_addr().map(|a| a.port()).map_err(|e| e.to_string())).collect()
}

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

/// The configuration of a front end of a small deployment, with the settings of `naas-road-dc`.
pub struct NodeConfig<'a> {
    pub name: &'a str,
    pub number: usize,
    pub fronts: usize,
    pub listen: u16,
    pub sockets: usize,
    pub bulletin: Option<u16>,
    /// Id, port and state of each engine.
    pub engines: &'a [(u32, u16)],
    pub extra: &'a str,
}

impl NodeConfig<'_> {
    pub fn json(&self) -> String {
        let target = |(id, port): &(u32, u16)| {
            format!(
                r#"{{"uid":"s-{id:08x}","endpoint":"127.0.0.1:{port}","az":"room-a","model":"std-8","pod_group":0,"state":"in_service","capacity_hint":1,"boot_ms":0}}"#
            )
        };
        let targets: Vec<String> = self.engines.iter().map(target).collect();
        let bulletin =
            self.bulletin.map_or(String::new(), |port| format!(r#""bulletin":"127.0.0.1:{port}","#));
        format!(
            r#"{{"name":"{}","listen":"127.0.0.1:{}","seed":"8c1f30d27a5be96{}","limits":{{"cores":1.0,"memory_mb":192,"sockets":{}}},{bulletin}
"known":{{"no":1,"items":[{{"no":1,"roster":{{"rev":1,"all":true,"targets":[{}]}}}}]}},{}
"settings":{{"Azs":["room-a","room-b"],"Zone":"room-a","Balancers":{},"Me":{},"MachineTypes":["std-8"],
"Classes":[{{"Name":"lookup","OnTime":500,"AimStretch":1.5,"HardLimit":2500,"LateWorth":0.1,"Repeat":"pure","Value":1}},
{{"Name":"report","OnTime":3000,"AimStretch":2.5,"HardLimit":15000,"LateWorth":0.3,"Repeat":"pure","Value":20}},
{{"Name":"delivery-load","OnTime":3000,"AimStretch":3,"HardLimit":25000,"LateWorth":0.6,"Repeat":"side_effect","Value":30}}],
"Parties":[{{"Name":"leinster","QuotaPerS":28,"Share":0.45}},{{"Name":"munster","QuotaPerS":20,"Share":0.32}}],
"Domain":{{"CoresByKind":[8],"RamOfKindMb":[16384],"ThreadsByClass":[1,3,2],"ClassLoad":[false,false,true],"LargestShare":0.4,"OutOfMemory":"line_up","Grants":true,"Priorities":true,"TellsCost":true,"TellsEvery":500}},
"Contract":{{"DrainGrace":250,"StartCapacity":0.3,"WarmWithin":15000,"FallMultiple":3,"Fall":1500,"GraceToAnswer":20}},
"Limits":{{"Cancel":true,"SendCap":6,"DialTimeout":250,"ConnIdle":15000,"MaxOpen":30000,"StreamsPerConn":100,"SecondCopies":false}},
"Report":{{"How":"inline","Fields":["outstanding"]}}}}}}"#,
            self.name,
            self.listen,
            self.number,
            self.sockets,
            targets.join(","),
            self.extra,
            self.fronts,
            self.number
        )
    }
}
