//! Configuration by the operator's file (HCL), and the program's command line.

use beamgap::fleet::document::{diff, parse_and_validate, ValidationContext};
use beamgap::node::config::Config;
use beamgap_policy::validation::KnownNames;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Child, Command, Output, Stdio};

const PLATFORM: &str = r#"{"name":"n0","seed":"1f","listen":"127.0.0.1:0","limits":{"sockets":1024},
 "settings":{"Azs":["a"],"Balancers":2,"Zone":"a","MachineTypes":["std"],
  "Classes":[{"Name":"lookup","OnTime":500,"HardLimit":2500,"Repeat":"pure","Value":1},
   {"Name":"report","OnTime":500,"HardLimit":2500,"Repeat":"pure","Value":1},
   {"Name":"delivery-load","OnTime":3000,"HardLimit":25000,"Repeat":"side_effect","Value":30}],
  "Parties":[{"Name":"leinster","QuotaPerS":100},{"Name":"munster","QuotaPerS":100}],
  "Contract":{"DrainGrace":250,"StartCapacity":0.3,"WarmWithin":15000,"FallMultiple":3,"Fall":1500},
  "Domain":{"CoresByKind":[8],"RamOfKindMb":[16384],"ThreadsByClass":[1,3,2]},"Report":{"How":"off"}}}"#;

fn read(operator: &str) -> Result<Config, String> {
    let secret = |_: &str| Some("frost".to_owned());
    Config::read_both(PLATFORM.into(), Some(("night.hcl", operator)), &secret).map_err(|e| e.to_string())
}

#[test]
fn the_example_with_all_blocks_is_good_and_without_it_all_is_off() {
    let config = read(include_str!("../deploy/operator.hcl")).unwrap();
    let (mysql, xds) = (config.mysql.unwrap(), config.xds.unwrap());
    assert_eq!((mysql.accounts.len(), mysql.rules.len(), mysql.rules[0].work_ms), (2, 2, Some(4_000.0)));
    let cold = xds.terms.cold.unwrap();
    assert_eq!((cold.instances, cold.proxy_share, cold.request_work_ms), (2, 0.5, 200.0));
    assert_eq!((xds.terms.listeners[0].name.as_str(), xds.terms.ttl_ms), ("tills", 5_000.0));
    assert_eq!(config.settings.gateways, 4, "the share of the proxies was not set aside");
    let plain = Config::read(PLATFORM.into(), &|_| None).unwrap();
    assert!(plain.xds.is_none() && plain.mysql.is_none() && plain.control.http.is_none());
    assert_eq!(plain.settings.gateways, 2);
}

#[test]
fn the_example_of_a_fleet_and_its_policy_are_good_and_without_the_block_it_is_off() {
    let json = include_str!("../deploy/fleet.example.json");
    let env = |name: &str| (name == "NODE_LISTEN").then(|| "127.0.0.1:0".to_owned());
    let both =
        |hcl: &str| Config::read_both(json.into(), Some(("fleet.hcl", hcl)), &env).map_err(|e| e.to_string());
    let config = both(include_str!("../deploy/fleet.hcl")).unwrap();
    let fleet = config.fleet.unwrap();
    assert_eq!((fleet.name.as_str(), fleet.member.as_str(), fleet.slot), ("counter-fleet", "n1", Some(1)));
    assert_eq!(
        (fleet.voters.len(), fleet.timings.lease_ms, fleet.listen),
        (3, 5_000.0, "127.0.0.1:7401".parse().ok())
    );
    let known = KnownNames {
        classes: config.settings.classes.iter().map(|c| c.name.clone()).collect(),
        accounts: config.settings.tenants.iter().map(|t| t.name.clone()).collect(),
        zones: config.zones,
    };
    let context_with_deadline = |longest: f64| ValidationContext {
        names: known.clone(),
        class_deadlines_ms: vec![longest; known.classes.len()],
    };
    let text = include_str!("../deploy/policy.hcl");
    let whole = parse_and_validate("policy.hcl", text, &context_with_deadline(20_000.0)).unwrap();
    assert_eq!(whole.budgets.iter().map(|b| b.name.as_str()).collect::<Vec<_>>(), ["munster", "reports"]);
    let validation_errors = |text: &str, context: &ValidationContext| {
        parse_and_validate("policy.hcl", text, context)
            .unwrap_err()
            .iter()
            .map(ToString::to_string)
            .collect::<String>()
    };
    let short = validation_errors(text, &context_with_deadline(40_000.0));
    assert!(short.contains("reports\" longest") && short.contains("at least \"40000 ms\""), "{short}");
    let strange = validation_errors(
        &text.replace("account = \"munster\"", "account = \"munsta\""),
        &context_with_deadline(20_000.0),
    );
    assert!(strange.contains("did you mean `munster`?"), "{strange}");
    let other = text.replace("rate    = 400", "rate    = 500");
    let changes =
        diff(&whole, &parse_and_validate("policy.hcl", &other, &context_with_deadline(20_000.0)).unwrap());
    assert_eq!(changes.len(), 1, "{changes:?}");
    assert!(changes[0].to_string().contains("400 a second, 200 at once -> "), "{}", changes[0]);
    let policy = whole.parsed.policy;
    assert_eq!(
        (policy.excluded_engines.len(), policy.classes.len(), policy.max_in_flight),
        (1, 2, Some(2000))
    );
    assert!(Config::read(json.into(), &env).unwrap().fleet.is_none());
    for (from, to, expected) in [
        (
            "decider \"3\" {",
            "decider \"2\" {",
            "fleet.deciders[2].seat is '2', not a number from 1 to 99 that stands once",
        ),
        ("seat   = 1", "seat = 4", "fleet.seat is 4, which no decider block names"),
        ("folder = ", "# folder = ", "fleet.folder is missing"),
        ("127.0.0.1:7402", "10.0.0.2:7402", "is beyond loopback"),
        ("right        = \"5 s\"", "right = \"1 s\"", "fleet.right_ms is under twice the switch_bound"),
        ("drift        = \"5%\"", "drift = \"50%\"", "fleet.drift is not from 0 to 0.2"),
        ("switch_bound = \"1 s\"", "switch_bound = 1", "without a unit"),
        ("counter-fleet", "counter fleet!", "fleet.name is not 1 to 64 letters"),
    ] {
        let message = both(&include_str!("../deploy/fleet.hcl").replace(from, to)).err().unwrap_or_default();
        assert!(message.contains(expected) && message.contains("fleet.hcl:"), "{to}: {message}");
    }
}

#[test]
fn an_error_of_meaning_names_the_line_in_the_operators_file() {
    for (operator, expected) in [
        ("xds {\n  listen = \"0.0.0.0:1\"\n}", "night.hcl:2:3: xds.listen is beyond loopback"),
        ("xds {\n  listen = \"127.0.0.1:0\"\n  proxy_share = \"20%\"\n}", "night.hcl:3:3: xds.proxy_share leaves proxies nothing on cold engines; write 0% or 34% and more"),
        ("xds {\n  listen = \"127.0.0.1:0\"\n  request_time = \"1 s\"\n}", "night.hcl:3:3: xds.request_ms is under the 1500 ms"),
        ("xds {\n  listen = \"127.0.0.1:0\"\n  lease_ttl = \"1 ms\"\n}", "night.hcl:3:3: xds.ttl_ms is not a number from 500"),
        ("xds {\n  listen = \"127.0.0.1:0\"\n  listener \"a\" {\n    address = \"127.0.0.1:1\"\n  }\n  listener \"a\" {\n    address = \"127.0.0.1:2\"\n  }\n}", "night.hcl:6:3: xds.listeners[1].name is 'a'"),
        ("mysql {\n  listen = \"127.0.0.1:0\"\n  box_user = \"x\"\n  default_class = \"delivery-laod\"\n}", "night.hcl:4:3: mysql.default_class is 'delivery-laod'"),
        ("mysql {\n  listen = \"127.0.0.1:0\"\n  box_user = \"x\"\n  default_class = \"lookup\"\n}", "night.hcl:4:3: mysql.default_class may be run twice"),
        ("control {\n  htpt = \"127.0.0.1:0\"\n}", "night.hcl:2:3: control.htpt is not known; did you mean `http`?"),
        ("control {\n  http = 9090\n  agent = 7\n}", "night.hcl:3:11: control.agent is 7"),
    ] {
        let error = read(operator).err().expect("the operator's file is invalid");
        assert!(error.contains(expected), "{error}\ndoes not contain {expected}");
    }
    let both = PLATFORM.replacen('{', r#"{"control":{"cluster":"x"},"#, 1);
    let error = Config::read_both(both.into(), Some(("night.hcl", "control {\n}")), &|_| None).err().unwrap();
    assert!(
        error.to_string().contains("night.hcl:1:1: control stands in the platform's configuration too"),
        "{error}"
    );
}

struct TempFiles(std::path::PathBuf);

impl TempFiles {
    fn new(name: &str) -> TempFiles {
        let folder = std::env::temp_dir().join(format!("beamgap-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        TempFiles(folder)
    }
    fn put(&self, name: &str, text: &str) -> String {
        let path = self.0.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }
}

impl Drop for TempFiles {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).unwrap();
    }
}

fn run_beamgap(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_beamgap")).args(args).env_remove("NODE_CONFIG").output().unwrap()
}

#[test]
fn check_tells_good_from_bad_by_its_exit_code() {
    let files = TempFiles::new("check");
    let config = files.put("config.json", PLATFORM);
    let good = files.put("good.hcl", "control {\n  cluster = \"x\"\n}\n");
    let wrong = files.put("wrong.hcl", "xds {\n  listen = \"0.0.0.0:1\"\n}\n");
    for (args, code, expected) in [
        (&["check", &good][..], 0, "good"),
        (&["check", &config], 0, "good"),
        (&["check", &good, "--config", &config], 0, "good"),
        (&["check", &wrong], 0, "good"),
        (&["check", &wrong, "--config", &config], 1, "wrong.hcl:2:3: xds.listen"),
        (&["check", "/nowhere.hcl"], 1, "/nowhere.hcl"),
        (&["chekc", &good], 2, "chekc"),
        (&["--log", "nonsense=loud"], 1, "NODE_CONFIG"),
        (&["--version"], 0, "beamgap 0."),
        (&["xds", "watch", "127.0.0.1:9", "--responses", "1"], 1, "127.0.0.1:9: "),
    ] {
        let output = run_beamgap(args);
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8(text).unwrap();
        assert!(
            output.status.code() == Some(code) && text.contains(expected),
            "{args:?}: {:?} {text}",
            output.status
        );
    }
}

struct FrontEndProcess(Child, std::io::Lines<BufReader<std::process::ChildStderr>>);

impl FrontEndProcess {
    fn start(config: &str, args: &[&str]) -> FrontEndProcess {
        let mut command = Command::new(env!("CARGO_BIN_EXE_beamgap"));
        let mut child = command.args(args).env("NODE_CONFIG", config).stderr(Stdio::piped()).spawn().unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines();
        FrontEndProcess(child, lines)
    }
    fn until(&mut self, what: &str) -> String {
        let line = self.1.find(|line| line.as_ref().is_ok_and(|line| line.contains(what)));
        line.unwrap_or_else(|| panic!("the log ended before: {what}")).unwrap()
    }
}

impl Drop for FrontEndProcess {
    fn drop(&mut self) {
        self.0.kill().unwrap();
        self.0.wait().unwrap();
    }
}

#[test]
fn watch_prints_what_proxies_are_told_and_a_nack_shows_on_the_page_and_in_the_log() {
    let files = TempFiles::new("watch");
    let known = r#""known":{"no":1,"items":[{"no":1,"roster":{"rev":1,"all":true,"targets":[
      {"uid":"s-00000001","endpoint":"127.0.0.1:7","az":"a","model":"std","state":"in_service","capacity_hint":1,"boot_ms":0}]}}]},"#;
    let config = files.put("config.json", &PLATFORM.replacen('{', &format!("{{{known}"), 1));
    let operator = "xds {\n  listen = \"127.0.0.1:0\"\n  listener \"tills\" {\n    address = \"127.0.0.1:8080\"\n  }\n}\n\
                    control {\n  http = \"127.0.0.1:0\"\n  cluster = \"boxes\"\n}\n";
    let operator = files.put("operator.hcl", operator);
    let mut running = FrontEndProcess::start(
        &config,
        &["--operator", &operator, "--log-format", "json", "--log", "info,list=off"],
    );
    let address = |line: String| line.split("address=").nth(1).unwrap().split('"').next().unwrap().to_owned();
    let http = address(running.until("listen: control=Http"));
    let line = running.until("listen: xds");
    assert!(
        line.starts_with('{') && line.contains(r#""level":"INFO""#) && line.contains(r#""target":"start""#),
        "{line}"
    );
    let xds = address(line);
    for delta in [false, true] {
        let mut args = vec!["xds", "watch", &xds, "--responses", "4"];
        args.extend(delta.then_some("--delta"));
        let output = run_beamgap(&args);
        let text = String::from_utf8(output.stdout).unwrap();
        assert!(output.status.success(), "{text}");
        for expected in [
            "cds boxes ",
            "requests=unbounded",
            "s-00000001@127.0.0.1:7=healthy,800",
            "lds tills ",
            "boxes=800",
        ] {
            assert!(text.contains(expected), "{text}\ndoes not contain {expected}");
        }
        args.push("--json");
        let text = String::from_utf8(run_beamgap(&args).stdout).unwrap();
        assert!(
            text.lines()
                .all(|line| line.starts_with('{') && line.contains("\"at_ms\":") && line.ends_with('}')),
            "{text}"
        );
    }
    let mut nacking = Command::new(env!("CARGO_BIN_EXE_beamgap"));
    nacking.args([
        "xds",
        "watch",
        &xds,
        "--nack",
        "lds",
        "--nack-text",
        "no such filter",
        "--node",
        "till-7",
    ]);
    let mut nacking = nacking.stdout(Stdio::piped()).spawn().unwrap();
    let line = running.until("xds: nack: ");
    assert!(line.contains("node=till-7 type=lds") && line.contains("error=no such filter"), "{line}");
    assert!(line.contains(r#""level":"WARN""#), "{line}");
    // The node renders the page once a second, so the test polls until the NACK appears.
    let page = (0..100).find_map(|_| {
        let mut stream = TcpStream::connect(&http).unwrap();
        stream.write_all(b"GET /xds/clients HTTP/1.0\r\n\r\n").unwrap();
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        std::thread::sleep(std::time::Duration::from_millis(50));
        text.contains("no such filter").then_some(text)
    });
    let page = page.expect("the page does not show the NACK");
    assert!(page.contains(r#""node":"till-7""#) && page.contains(r#""variant":"sotw""#), "{page}");
    nacking.kill().unwrap();
    nacking.wait().unwrap();
}
