//! A fleet of three front ends as in deploy/fleet.hcl, each with a link of its own to each other one.

use crate::relay::Relay;
use crate::world::{free_ports, sleep_ms, NodeConfig, World};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub struct Fleet {
    /// Ports on which the members listen for each other, and for clients.
    pub voters: Vec<u16>,
    pub clients: Vec<u16>,
    /// The link by which one member asks another: `links[from][to]`.
    pub links: Vec<Vec<Option<Relay>>>,
    /// An operator's file for commands, which go past the links.
    pub asking: String,
    env: Vec<[(&'static str, String); 2]>,
}

impl Fleet {
    /// Starts three front ends.
    pub fn start(world: &mut World, engines: &[(u32, u16)]) -> Result<Fleet, String> {
        let ports = free_ports(6)?;
        let (clients, voters) = ports.split_at(3);
        let mut links: Vec<Vec<Option<Relay>>> = Vec::new();
        for from in 0..3 {
            let address = |to: usize| SocketAddr::from(([127, 0, 0, 1], voters[to]));
            let link = |to: usize| if to == from { Ok(None) } else { Relay::start(address(to)).map(Some) };
            links.push((0..3).map(link).collect::<Result<_, _>>()?);
        }
        let mut env = Vec::new();
        for from in 0..3 {
            let name = format!("n{}", from + 1);
            let to = |to: usize| links[from][to].as_ref().map_or(voters[to], |link| link.port);
            let folder = world.temp.join(format!("{name}-data"));
            let text = format!(
                "fleet {{\n  name = \"counter-fleet\"\n  member = \"{name}\"\n  seat = {}\n  folder = \"{}\"\n{}}}\n",
                from + 1,
                folder.display(),
                deciders(&[to(0), to(1), to(2)])
            );
            let operator = world.write(&format!("{name}.hcl"), &text)?;
            let config = NodeConfig {
                name: &name,
                number: from,
                fronts: 3,
                listen: clients[from],
                sockets: 1024,
                bulletin: None,
                engines,
                extra: "",
            };
            let config = world.write(&format!("{name}.json"), &config.json())?;
            env.push([
                ("NODE_CONFIG", config.display().to_string()),
                ("BEAMGAP_OPERATOR", operator.display().to_string()),
            ]);
            world.front_end(&name, &env[from])?;
        }
        let text = format!("fleet {{\n  name = \"counter-fleet\"\n{}}}\n", deciders(voters));
        let asking = world.write("ask.hcl", &text)?.display().to_string();
        sleep_ms(1500);
        Ok(Fleet { voters: voters.to_vec(), clients: clients.to_vec(), links, asking, env })
    }

    /// Starts a killed member again.
    pub fn restart(&self, world: &mut World, member: usize) -> Result<u32, String> {
        world.front_end(&format!("n{}", member + 1), &self.env[member])
    }

    /// Founds the fleet and waits until all three hold their right to admit. Returns who leads.
    pub fn found(&self, world: &World) -> Result<usize, String> {
        let until = Instant::now() + Duration::from_secs(20);
        loop {
            let (code, text) = world.command(&["fleet", "found", "--operator", &self.asking])?;
            if code == 0 {
                break;
            }
            if Instant::now() > until {
                return Err(format!("the fleet could not be founded: {text}"));
            }
            sleep_ms(500);
        }
        for _ in 0..40 {
            let (code, status) = world.command(&["fleet", "status", "--operator", &self.asking])?;
            let has_right = |l: &&str| l.starts_with("member ") && l.contains("holds a right");
            let holding = status.lines().filter(has_right).count();
            if let (0, 3, Some(member)) = (code, holding, (0..3).find(|m| leads(&status, *m))) {
                return Ok(member);
            }
            sleep_ms(250);
        }
        Err("no leader".into())
    }
}

pub fn deciders(ports: &[u16]) -> String {
    let block = |(i, port): (usize, &u16)| {
        format!("  decider \"{}\" {{\n    address = \"127.0.0.1:{port}\"\n  }}\n", i + 1)
    };
    ports.iter().enumerate().map(block).collect()
}

/// Whether a status says that this member leads, counted from 0.
pub fn leads(status: &str, member: usize) -> bool {
    let is_leader =
        |line: &str| line.starts_with(&format!("decider {} ", member + 1)) && line.contains(" leader ");
    status.lines().any(is_leader)
}
