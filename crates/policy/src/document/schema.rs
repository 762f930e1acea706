//! The schema of a policy document: its blocks and keys.

use beamgap_config::schema::{Block, Key, Shape};

/// The schema of a policy document, without the blocks that [`parse_with_blocks`](super::parse_with_blocks) adds.
pub fn schema() -> Block {
    Block {
        keys: vec![required("form", count(1.0, 1_000_000.0))],
        blocks: vec![
            labelled_block("engine", "engines", "id", engine_keys()),
            labelled_block("class", "classes", "name", class_keys()),
            labelled_block(
                "account",
                "accounts",
                "name",
                vec![required("share", Shape::Share)],
            ),
            labelled_block(
                "zone",
                "zones",
                "name",
                vec![required("weight", Shape::Share)],
            ),
            labelled_block(
                "task",
                "tasks",
                "name",
                vec![required("forbidden", Shape::Flag)],
            ),
            admission_block(),
        ],
        ..Block::default()
    }
}

fn engine_keys() -> Vec<Key> {
    vec![
        required("left_out", Shape::Flag),
        optional("why", "why", Shape::Text),
    ]
}

fn class_keys() -> Vec<Key> {
    vec![
        optional("refused", "refused", Shape::Flag),
        optional("attempts", "attempts", count(1.0, 100.0)),
        optional("rate", "rate", count(0.0, 1_000_000.0)),
        optional("deadline", "deadline_ms", Shape::Duration),
    ]
}

fn admission_block() -> Block {
    Block {
        name: "admission",
        setting: "admission",
        keys: vec![optional("open_most", "open_most", count(1.0, 10_000_000.0))],
        ..Block::default()
    }
}

fn labelled_block(
    name: &'static str,
    setting: &'static str,
    label: &'static str,
    keys: Vec<Key>,
) -> Block {
    Block {
        name,
        setting,
        many: true,
        label: Some(label),
        keys,
        blocks: Vec::new(),
    }
}

fn optional(name: &'static str, setting: &'static str, shape: Shape) -> Key {
    Key {
        name,
        setting,
        shape,
        needed: false,
    }
}

fn required(name: &'static str, shape: Shape) -> Key {
    Key {
        name,
        setting: name,
        shape,
        needed: true,
    }
}

fn count(least: f64, most: f64) -> Shape {
    Shape::Count { least, most }
}
