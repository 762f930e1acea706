//! Writes the files of a fleet: the members' configurations, the operators' files and the policies.

use super::*;

/// Returns the `settings` object of a member's configuration; `me` is the member's index.
fn settings_json(members: usize, me: usize) -> String {
    format!(
        r#"{{"Azs":["a"],"Balancers":{members},"Me":{me},"Zone":"a","MachineTypes":["std"],
 "Classes":[{{"Name":"lookup","OnTime":500,"HardLimit":2500,"Repeat":"pure","Value":1}},
  {{"Name":"delivery-load","OnTime":3000,"HardLimit":25000,"Repeat":"side_effect","Value":30}}],
 "Parties":[{{"Name":"leinster","QuotaPerS":1000}},{{"Name":"munster","QuotaPerS":1000}}],
 "Domain":{{"CoresByKind":[8],"RamOfKindMb":[16384],"ThreadsByClass":[1,2],"Grants":true,"Priorities":true,
  "TellsCost":true,"TellsEvery":500}},
 "Contract":{{"DrainGrace":250}},"Limits":{{"Cancel":true,"DialTimeout":250,"ConnIdle":15000,"SendCap":6}},
 "Report":{{"How":"inline","Fields":["outstanding"]}}}}"#
    )
}

impl World {
    /// Path of the file with which operators' commands find the voters.
    pub fn operator(&self) -> PathBuf {
        self.folder.join("operator.hcl")
    }

    /// Path of the file of the policy with this index in [`POLICIES`].
    pub fn policy(&self, number: usize) -> PathBuf {
        self.folder.join(format!("policy-{number}.hcl"))
    }

    /// Writes a policy that a test case defines and returns the path of its file.
    pub fn write_policy(&self, name: &str, text: &str) -> PathBuf {
        let path = self.folder.join(format!("policy-{name}.hcl"));
        if let Err(e) = std::fs::write(&path, text) {
            self.history.note(now(), What::Fault(format!("{}: {e}", path.display())));
        }
        path
    }

    /// Path of a voter's data folder.
    pub fn disk(&self, me: usize) -> PathBuf {
        self.folder.join(format!("disk-{me}"))
    }

    /// Returns the `fleet` block of a member's operator file; the index after the last member is the operator's own.
    pub(super) fn fleet_block(&self, me: usize) -> String {
        let Options { switch_bound, right, check, .. } = &self.options;
        let mut text = format!(
            "fleet {{\n  name = \"{}\"\n  switch_bound = \"{switch_bound} ms\"\n  right = \"{right} ms\"\n  check_time = \"{check} ms\"\n",
            self.name
        );
        if me < SEATS {
            let folder = self.disk(me);
            text += &format!(
                "  seat = {}\n  listen = \"127.0.0.1:0\"\n  folder = \"{}\"\n",
                me + 1,
                folder.display()
            );
        }
        for seat in 0..SEATS {
            // A voter has no relay to itself and does not use its own entry, so the entry has a placeholder address.
            let address =
                self.relays.get(&(me, seat)).map_or("127.0.0.1:9".to_owned(), |r| r.address.to_string());
            text += &format!("  decider \"{}\" {{\n    address = \"{address}\"\n  }}\n", seat + 1);
        }
        text + "}\n"
    }

    /// Writes a member's configuration and operator file and returns its process, which is not started yet.
    pub(super) fn create_member(&self, me: usize) -> std::io::Result<Process> {
        let engine_json = |e: &Engine| {
            format!(
                r#"{{"uid":"{}","endpoint":"{}","az":"a","model":"std","pod_group":0,"state":"in_service","capacity_hint":1,"boot_ms":0}}"#,
                e.id, e.address
            )
        };
        let engines: Vec<String> = self.engines.iter().map(engine_json).collect();
        let name = format!("n{me}");
        let config = self.folder.join(format!("{name}.json"));
        let text = format!(
            r#"{{"name":"{name}","seed":"{me:x}f","listen":"127.0.0.1:0","limits":{{"cores":1,"memory_mb":192,"sockets":1024}},
            "settings":{},"known":{{"no":1,"items":[{{"no":1,"roster":{{"rev":1,"all":true,"targets":[{}]}}}}]}}}}"#,
            settings_json(self.options.members, me).replace(
                "delivery-load",
                if self.options.odd == Some(me) { "delivery" } else { "delivery-load" }
            ),
            engines.join(",")
        );
        std::fs::write(&config, text)?;
        let operator = self.folder.join(format!("{name}.hcl"));
        let block = if self.options.fleet { self.fleet_block(me) } else { String::new() };
        std::fs::write(&operator, block + "control {\n  http = \"127.0.0.1:0\"\n}\n")?;
        let trials = &self.options.trials;
        let trial = trials.get(me).or(trials.last()).map_or("", String::as_str);
        let older = self.options.older.as_ref().filter(|_| me > 0);
        let trial = match older {
            _ if !self.options.history => trial.to_owned(),
            Some(_) => "history".to_owned(),
            None => format!("history,leash,power,{trial}"),
        };
        let binary = older.unwrap_or(&self.binary);
        Ok(Process::new(&name, binary, config, operator, &trial, self.history.clone()))
    }
}
