//! Tests of reading budgets from a policy document: the values
//! of valid blocks, and the problem reported for each mistake.

use beamgap_budgets::reader::{read, schema};
use beamgap_budgets::spec::{Amount, BudgetSpec, Resource};
use beamgap_budgets::FULL_SHARE;
use beamgap_config::schema::Block;

fn read_text(text: &str) -> Result<Vec<BudgetSpec>, String> {
    let root = Block {
        blocks: vec![schema()],
        ..Block::default()
    };
    let joined = |problems: Vec<beamgap_config::Problem>| {
        let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
        lines.join("\n")
    };
    let document = beamgap_config::read("p.hcl", text, &root).map_err(joined)?;
    read(&document).map_err(joined)
}

#[test]
fn all_resources_are_read_with_their_amounts() {
    let all = read_text(
        r#"
budget "rate" {
  limits      = "requests"
  account     = "munster"
  rate        = 40
  floor       = "30%"
  floor_among = 4
  weight "n1" {
    is = 3
  }
}
budget "open" {
  limits  = "open"
  class   = "report"
  most    = 30
  longest = "20 s"
}
budget "links" {
  limits  = "connections"
  most    = 24
  longest = "1 s"
}
budget "again" {
  limits = "further_attempts"
  rate   = 5
  burst  = 9
}
budget "cold" {
  limits = "cold_engines"
}
"#,
    )
    .unwrap();
    let by = |name: &str| all.iter().find(|s| s.name == name).unwrap();
    assert_eq!(
        by("rate").amount,
        Amount::Rate {
            per_second: 40.0,
            burst: 40
        }
    );
    assert_eq!(
        (by("rate").weight("n1", "a"), by("rate").weight("n2", "a")),
        (3.0, 1.0)
    );
    assert_eq!(
        by("rate").allocatable_share().parts() + 4 * by("rate").floor_share().parts(),
        FULL_SHARE.parts()
    );
    assert_eq!(by("rate").floor_share().to_units(40), 3);
    assert_eq!(
        by("open").amount,
        Amount::Concurrency {
            max: 30,
            max_duration_ms: 20_000.0
        }
    );
    assert_eq!(by("links").resource, Resource::Connections);
    assert_eq!(by("again").total_units(), 9);
    assert_eq!(by("cold").resource, Resource::WarmingEngines);
    assert!(
        by("rate").applies_to("report", Some("munster")) && !by("rate").applies_to("report", None)
    );
    assert!(
        by("open").applies_to("report", None) && !by("open").applies_to("lookup", Some("munster"))
    );
}

#[test]
fn each_mistake_is_reported_with_its_place_key_and_fix() {
    for (body, expected) in [
        ("limits = \"all\"", "is nothing that a budget limits"),
        ("limits = \"requests\"", "rate"),
        (
            "limits = \"requests\"\nrate = 3\nmost = 4",
            "is for what is held at once",
        ),
        ("limits = \"open\"\nmost = 4", "longest"),
        (
            "limits = \"open\"\nmost = 4\nlongest = \"1 s\"\nburst = 3",
            "is for what comes in",
        ),
        (
            "limits = \"connections\"\naccount = \"a\"\nmost = 4\nlongest = \"1 s\"",
            "is of engines",
        ),
        ("limits = \"cold_engines\"\nmost = 4", "as the settings say"),
        (
            "limits = \"requests\"\nrate = 3\nfloor = \"20%\"",
            "floor_among",
        ),
        (
            "limits = \"requests\"\nrate = 3\nfloor = \"20%\"\nfloor_among = 4",
            "gives each front end less than one",
        ),
        (
            "limits = \"requests\"\nrate = 90\nfloor = \"60%\"\nfloor_among = 4",
            "is over 50%",
        ),
        ("limits = \"requests\"\nrate = 0", "rate"),
        ("limits = \"requests\"\nrate = 3\nbursts = 3", "bursts"),
    ] {
        let problem = read_text(&format!("budget \"b\" {{\n{body}\n}}\n")).expect_err(body);
        assert!(
            problem.contains(expected) && problem.contains("p.hcl:"),
            "{body}: {problem}"
        );
    }
    let twice = "budget \"b\" {\n  limits = \"cold_engines\"\n}\n".repeat(2);
    assert!(read_text(&twice)
        .expect_err("twice")
        .contains("stands twice"));
}
