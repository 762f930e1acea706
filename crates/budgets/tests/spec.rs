//! Budgets as operators write them: what is read, and what each fault is told as, with its key and its fix.

use beamgap_budgets::spec::{read, schema, Amount, Of, Spec};
use beamgap_budgets::{units, WHOLE};
use beamgap_config::schema::Block;

fn of(text: &str) -> Result<Vec<Spec>, String> {
    let root = Block { blocks: vec![schema()], ..Block::default() };
    let told = |problems: Vec<beamgap_config::Problem>| {
        problems.iter().map(ToString::to_string).collect::<Vec<_>>().join("\n")
    };
    let document = beamgap_config::read("p.hcl", text, &root).map_err(told)?;
    read(&document).map_err(told)
}

#[test]
fn all_kinds_are_read_with_their_figures() {
    let all = of(r#"
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
"#)
    .unwrap();
    let by = |name: &str| all.iter().find(|s| s.name == name).unwrap();
    assert_eq!(by("rate").amount, Amount::Rate { per_s: 40.0, burst: 40 });
    assert_eq!((by("rate").weight("n1", "a"), by("rate").weight("n2", "a")), (3.0, 1.0));
    assert_eq!(by("rate").shared() + 4 * by("rate").floor_part(), WHOLE);
    assert_eq!(units(by("rate").floor_part(), 40), 3);
    assert_eq!(by("open").amount, Amount::Stock { most: 30, longest: 20_000.0 });
    assert_eq!((by("links").of, by("again").units(), by("cold").of), (Of::Connections, 9, Of::ColdEngines));
    assert!(by("rate").binds("report", Some("munster")) && !by("rate").binds("report", None));
    assert!(by("open").binds("report", None) && !by("open").binds("lookup", Some("munster")));
}

#[test]
fn each_fault_is_told_with_its_line_its_key_and_its_fix() {
    for (body, told) in [
        ("limits = \"all\"", "is nothing that a budget limits"),
        ("limits = \"requests\"", "rate"),
        ("limits = \"requests\"\nrate = 3\nmost = 4", "is for what is held at once"),
        ("limits = \"open\"\nmost = 4", "longest"),
        ("limits = \"open\"\nmost = 4\nlongest = \"1 s\"\nburst = 3", "is for what comes in"),
        ("limits = \"connections\"\naccount = \"a\"\nmost = 4\nlongest = \"1 s\"", "is of engines"),
        ("limits = \"cold_engines\"\nmost = 4", "as the settings say"),
        ("limits = \"requests\"\nrate = 3\nfloor = \"20%\"", "floor_among"),
        (
            "limits = \"requests\"\nrate = 3\nfloor = \"20%\"\nfloor_among = 4",
            "gives each front end less than one",
        ),
        ("limits = \"requests\"\nrate = 90\nfloor = \"60%\"\nfloor_among = 4", "is over 50%"),
        ("limits = \"requests\"\nrate = 0", "rate"),
        ("limits = \"requests\"\nrate = 3\nbursts = 3", "bursts"),
    ] {
        let fault = of(&format!("budget \"b\" {{\n{body}\n}}\n")).expect_err(body);
        assert!(fault.contains(told) && fault.contains("p.hcl:"), "{body}: {fault}");
    }
    let twice = "budget \"b\" {\n  limits = \"cold_engines\"\n}\n".repeat(2);
    assert!(of(&twice).expect_err("twice").contains("stands twice"));
}
