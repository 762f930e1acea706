//! The tables of the database file, and the transactions that read and write them.

use super::{Batch, DiskFailure, FORMAT_VERSION};
use redb::{Database, Durability, ReadableTable, TableDefinition};
use std::ops::RangeBounds;

/// Table of the serialized log entries by log index.
const LOG: TableDefinition<u64, &[u8]> = TableDefinition::new("log");
/// Table of all other values by key: format version, identity, vote, last purged log id, and snapshot.
const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
/// Key of the data folder's format version in the table of values.
pub(super) const FORMAT_KEY: &str = "form";

/// Writes a batch in one transaction. Without `sync`, the commit is atomic but not durable.
pub(super) fn write(db: &Database, batch: &Batch, sync: bool) -> Result<(), redb::Error> {
    let mut transaction = db.begin_write()?;
    let durability = if sync {
        Durability::Immediate
    } else {
        Durability::None
    };
    transaction.set_durability(durability);
    {
        let mut log = transaction.open_table(LOG)?;
        if let Some(from) = batch.truncate_from {
            log.retain_in(from.., |_, _| false)?;
        }
        if let Some(to) = batch.purge_to {
            log.retain_in(..=to, |_, _| false)?;
        }
        for (index, bytes) in &batch.entries {
            log.insert(index, bytes.as_slice())?;
        }
        let mut meta = transaction.open_table(META)?;
        for (name, bytes) in &batch.meta {
            meta.insert(*name, bytes.as_slice())?;
        }
    }
    transaction.commit()?;
    Ok(())
}

/// Returns the value of a key in the `meta` table.
pub(super) fn read_meta(db: &Database, name: &str) -> Result<Option<Vec<u8>>, redb::Error> {
    let table = db.begin_read()?.open_table(META)?;
    let value = table.get(name)?;
    Ok(value.map(|value| value.value().to_vec()))
}

/// Returns the log entries of a range of indices, in ascending order.
pub(super) fn read_entries(
    db: &Database,
    range: impl RangeBounds<u64>,
) -> Result<Vec<Vec<u8>>, redb::Error> {
    let table = db.begin_read()?.open_table(LOG)?;
    let mut entries = Vec::new();
    for entry in table.range(range)? {
        entries.push(entry?.1.value().to_vec());
    }
    Ok(entries)
}

/// Returns the log entry with the highest index.
pub(super) fn read_last_entry(db: &Database) -> Result<Option<Vec<u8>>, redb::Error> {
    let table = db.begin_read()?.open_table(LOG)?;
    let last = table.last()?;
    Ok(last.map(|(_, value)| value.value().to_vec()))
}

/// The complete contents of a database file.
#[derive(Default)]
struct Contents {
    entries: Vec<(u64, Vec<u8>)>,
    meta: Vec<(String, Vec<u8>)>,
}

/// Copies the contents of a database to a new, empty one. Returns whether there was anything to copy.
///
/// If there was nothing to copy, writes the current format version to the new database.
pub(super) fn copy(from: Option<&Database>, to: &Database) -> Result<bool, DiskFailure> {
    let mut contents = match from {
        Some(from) => read_all(from)?,
        None => Contents::default(),
    };
    let has_contents = !contents.meta.is_empty();
    if !has_contents {
        let version = postcard::to_stdvec(&FORMAT_VERSION)?;
        contents.meta.push((FORMAT_KEY.to_owned(), version));
    }
    write_all(to, &contents)?;
    Ok(has_contents)
}

/// Reads a whole database. A database without tables has never been written, so its contents are empty.
fn read_all(db: &Database) -> Result<Contents, redb::Error> {
    let mut contents = Contents::default();
    let transaction = db.begin_read()?;
    let log = match transaction.open_table(LOG) {
        Ok(log) => log,
        Err(redb::TableError::TableDoesNotExist(_)) => return Ok(contents),
        Err(error) => return Err(error.into()),
    };
    for entry in log.iter()? {
        let (index, bytes) = entry?;
        contents
            .entries
            .push((index.value(), bytes.value().to_vec()));
    }
    for entry in transaction.open_table(META)?.iter()? {
        let (name, bytes) = entry?;
        contents
            .meta
            .push((name.value().to_owned(), bytes.value().to_vec()));
    }
    Ok(contents)
}

/// Writes the contents to a database in one durable transaction.
fn write_all(db: &Database, contents: &Contents) -> Result<(), redb::Error> {
    let transaction = db.begin_write()?;
    {
        let mut log = transaction.open_table(LOG)?;
        for (index, bytes) in &contents.entries {
            log.insert(index, bytes.as_slice())?;
        }
        let mut meta = transaction.open_table(META)?;
        for (name, bytes) in &contents.meta {
            meta.insert(name.as_str(), bytes.as_slice())?;
        }
    }
    transaction.commit()?;
    Ok(())
}
