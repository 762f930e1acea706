//! Splits an input line into fields and parses them. Fields are separated by one space; `-` marks an absent value.

use beamgap::settings::{micros, number, report_field, unexpected, Parsed};
use beamgap::{Attempt, EngineId, LoadReport, Micros, Outcome, RequestId};
use std::str::{FromStr, Split};
use std::sync::Arc;

/// Text of an optional field that has no value.
pub const ABSENT: &str = "-";

/// Reads the fields of a line from left to right. The `expected` argument of the methods describes the expected
/// field in the error message.
pub struct Fields<'a>(Split<'a, char>);

impl<'a> Fields<'a> {
    /// Starts at the first field of `line`.
    pub fn new(line: &'a str) -> Self {
        Fields(line.split(' '))
    }

    /// Reads the next field, which must not be empty.
    pub fn text(&mut self, expected: &str) -> Parsed<&'a str> {
        match self.0.next() {
            Some(field) if !field.is_empty() => Ok(field),
            Some(_) => unexpected("nothing", expected),
            None => unexpected("end of line", expected),
        }
    }

    /// Reads a field that may be absent.
    pub fn optional_text(&mut self, expected: &str) -> Parsed<Option<&'a str>> {
        let field = self.text(expected)?;
        Ok(Some(field).filter(|field| *field != ABSENT))
    }

    /// Reads an integer.
    pub fn integer<T: FromStr>(&mut self, expected: &str) -> Parsed<T> {
        let field = self.text(expected)?;
        parse_integer(field, expected)
    }

    /// Reads an integer that may be absent.
    pub fn optional_integer<T: FromStr>(&mut self, expected: &str) -> Parsed<Option<T>> {
        let field = self.optional_text(expected)?;
        field.map(|field| parse_integer(field, expected)).transpose()
    }

    /// Reads a finite number.
    pub fn number(&mut self, expected: &str) -> Parsed<f64> {
        number(self.text(expected)?, expected)
    }

    /// Reads a finite number that may be absent.
    pub fn optional_number(&mut self, expected: &str) -> Parsed<Option<f64>> {
        let field = self.optional_text(expected)?;
        field.map(|field| number(field, expected)).transpose()
    }

    /// Reads a delay in milliseconds; an absent value is read as zero.
    pub fn delay(&mut self) -> Parsed<Micros> {
        let delay_ms = self.optional_number("a delay")?;
        Ok(micros(delay_ms.unwrap_or(0.0)))
    }

    /// Reads a boolean that is written as `1` or `0`.
    pub fn flag(&mut self) -> Parsed<bool> {
        match self.text("1 or 0")? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => unexpected(other, "1 or 0"),
        }
    }

    /// Reads the number of a gateway instance.
    pub fn instance(&mut self) -> Parsed<u32> {
        self.integer("an instance number")
    }

    /// Reads a request id.
    pub fn request(&mut self) -> Parsed<RequestId> {
        let id = self.text("a request id")?;
        Ok(RequestId(Arc::from(id)))
    }

    /// Reads an engine address.
    pub fn engine(&mut self) -> Parsed<EngineId> {
        let address = self.text("an engine address")?;
        Ok(EngineId(Arc::from(address)))
    }

    /// Reads the number of an attempt within its request.
    pub fn attempt(&mut self) -> Parsed<Attempt> {
        let attempt = self.integer("an attempt number")?;
        Ok(Attempt(attempt))
    }

    /// Reads the outcome of an attempt or a probe, which is written as an HTTP-like status code.
    pub fn outcome(&mut self) -> Parsed<Outcome> {
        let outcome = match self.text("an outcome code")? {
            "200" => Outcome::Served,
            "502" => Outcome::Error,
            "429" => Outcome::Overloaded,
            "408" => Outcome::TimedOut,
            "521" => Outcome::ConnectFailed,
            "520" => Outcome::Reset,
            "444" => Outcome::Cancelled,
            "409" => Outcome::NotSent,
            other => return unexpected(other, "an outcome code"),
        };
        Ok(outcome)
    }

    /// Reads a load report that may be absent. A report is a list of `name:value` pairs, separated by commas.
    pub fn load_report(&mut self) -> Parsed<Option<LoadReport>> {
        let Some(text) = self.optional_text("a load report")? else { return Ok(None) };
        let mut report = LoadReport::default();
        for pair in text.split(',') {
            let Some((name, value)) = pair.split_once(':') else {
                return unexpected(pair, "a name:value pair");
            };
            let value = number(value, "a number")?;
            report_field(&mut report, name, value);
        }
        Ok(Some(report))
    }

    /// Returns the next field without checking its content; `None` at the end of the line.
    pub fn next_field(&mut self) -> Option<&'a str> {
        self.0.next()
    }

    /// Checks that all fields of the line have been read.
    pub fn end(mut self) -> Parsed<()> {
        match self.0.next() {
            None => Ok(()),
            Some(field) => unexpected(field, "end of line"),
        }
    }
}

fn parse_integer<T: FromStr>(field: &str, expected: &str) -> Parsed<T> {
    field.parse().or_else(|_| unexpected(field, expected))
}
