//! Checks that files and functions named in the documentation exist, so that a rename leaves no stale name there.

use std::path::{Path, PathBuf};

/// Page of former names. The paths in it no longer exist, so it is not checked.
const FORMER_NAMES_PAGE: &str = "names.md";
/// Folders whose paths are checked; other text in backticks is not a path of the repository.
const SOURCE_FOLDERS: [&str; 7] = ["src/", "crates/", "tests/", "docs/", "deploy/", "examples/", "fuzz/"];

fn root() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR"))
}

fn page(name: &str) -> String {
    std::fs::read_to_string(root().join(name)).expect("a page")
}

/// Paths of the README and of the pages in `docs`, except `docs/` subfolders with measurements of older versions.
fn pages() -> Vec<String> {
    let names = std::fs::read_dir(root().join("docs"))
        .expect("a folder")
        .map(|entry| entry.expect("an entry").file_name());
    let names = names.filter_map(|name| name.into_string().ok());
    let pages = names.filter(|name| name.ends_with(".md") && name != FORMER_NAMES_PAGE);
    pages.map(|name| format!("docs/{name}")).chain(["README.md".to_owned()]).collect()
}

/// Finds each part of a text between backticks, and returns it with the text after its closing backtick.
fn quoted(text: &str) -> Vec<(&str, &str)> {
    let parts: Vec<&str> = text.split('`').collect();
    let closed = parts.chunks(2).filter(|pair| pair.len() == 2);
    let mut before = parts[0].len() + 1;
    let mut found = Vec::new();
    for (index, _) in closed.enumerate() {
        let name = parts[2 * index + 1];
        let after = &text[(before + name.len() + 1).min(text.len())..];
        found.push((name, after));
        before += name.len() + 1 + parts.get(2 * index + 2).map_or(0, |part| part.len() + 1);
    }
    found
}

fn is_source_path(name: &str) -> bool {
    let plain = |c: char| c.is_ascii_alphanumeric() || "/._-".contains(c);
    SOURCE_FOLDERS.iter().any(|folder| name.starts_with(folder)) && name.chars().all(plain)
}

fn defines_function(file: &Path, function: &str) -> bool {
    let source = std::fs::read_to_string(file).expect("a source file");
    [format!("fn {function}("), format!("fn {function}<")].iter().any(|start| source.contains(start))
}

#[test]
fn every_path_that_a_page_names_exists() {
    let mut missing = Vec::new();
    let mut seen = 0;
    for name in pages() {
        let text = page(&name);
        for (path, _) in quoted(&text).into_iter().filter(|(path, _)| is_source_path(path)) {
            seen += 1;
            if !root().join(path).exists() {
                missing.push(format!("{name}: {path}"));
            }
        }
    }
    assert!(seen > 50, "only {seen} paths were found in the pages");
    assert!(missing.is_empty(), "{missing:#?}");
}

#[test]
fn every_function_that_the_architecture_page_names_is_in_its_file() {
    let text = page("docs/architecture.md");
    let places = quoted(&text);
    let mut missing = Vec::new();
    let mut seen = 0;
    for ((path, after), (function, _)) in places.iter().zip(places.iter().skip(1)) {
        let names_function = after.starts_with(": `") && path.ends_with(".rs");
        if !names_function || !is_source_path(path) || !root().join(path).exists() {
            continue;
        }
        seen += 1;
        if !defines_function(&root().join(path), function) {
            missing.push(format!("{path}: {function}"));
        }
    }
    assert!(seen > 15, "only {seen} functions were found in the page");
    assert!(missing.is_empty(), "{missing:#?}");
}
