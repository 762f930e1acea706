//! The fields of a line: separated by one space each, with `-` for an absent value.

use beamgap::settings::{micros, number, report_field, unexpected, Parsed};
use beamgap::{Attempt, EngineId, LoadReport, Micros, Outcome, RequestId};
use std::str::{FromStr, Split};
use std::sync::Arc;

/// Stands where an optional field has no value.
pub const ABSENT: &str = "-";

/// The fields of a line, taken from left to right. `expected` is what an error says should have stood there.
pub struct Fields<'a>(Split<'a, char>);

impl<'a> Fields<'a> {
    /// The fields of `line`.
    pub fn of(line: &'a str) -> Self {
        Fields(line.split(' '))
    }

    /// Takes a field that is not empty.
    pub fn text(&mut self, expected: &str) -> Parsed<&'a str> {
        match self.0.next() {
            Some(field) if !field.is_empty() => Ok(field),
            Some(_) => unexpected("nothing", expected),
            None => unexpected("end of line", expected),
        }
    }

    /// Takes a field that may be absent.
    pub fn optional_text(&mut self, expected: &str) -> Parsed<Option<&'a str>> {
        let field = self.text(expected)?;
        Ok(Some(field).filter(|field| *field != ABSENT))
    }

    /// Takes an integer.
    pub fn integer<T: FromStr>(&mut self, expected: &str) -> Parsed<T> {
        let field = self.text(expected)?;
        parse_integer(field, expected)
    }

    /// Takes an integer that may be absent.
    pub fn optional_integer<T: FromStr>(&mut self, expected: &str) -> Parsed<Option<T>> {
        let field = self.optional_text(expected)?;
        field.map(|field| parse_integer(field, expected)).transpose()
    }

    /// Takes a finite number.
    pub fn number(&mut self, expected: &str) -> Parsed<f64> {
        number(self.text(expected)?, expected)
    }

    /// Takes a finite number that may be absent.
    pub fn optional_number(&mut self, expected: &str) -> Parsed<Option<f64>> {
        let field = self.optional_text(expected)?;
        field.map(|field| number(field, expected)).transpose()
    }

    /// Takes a delay in milliseconds; an absent one is zero.
    pub fn delay(&mut self) -> Parsed<Micros> {
        let delay_ms = self.optional_number("a delay")?;
        Ok(micros(delay_ms.unwrap_or(0.0)))
    }

    /// Takes a flag, written `1` or `0`.
    pub fn flag(&mut self) -> Parsed<bool> {
        match self.text("1 or 0")? {
            "1" => Ok(true),
            "0" => Ok(false),
            other => unexpected(other, "1 or 0"),
        }
    }

    /// Takes the number of an instance.
    pub fn instance(&mut self) -> Parsed<u32> {
        self.integer("an instance number")
    }

    /// Takes the id of a request.
    pub fn request(&mut self) -> Parsed<RequestId> {
        let id = self.text("a request id")?;
        Ok(RequestId(Arc::from(id)))
    }

    /// Takes the address of an engine.
    pub fn engine(&mut self) -> Parsed<EngineId> {
        let address = self.text("an engine address")?;
        Ok(EngineId(Arc::from(address)))
    }

    /// Takes the number of an attempt.
    pub fn attempt(&mut self) -> Parsed<Attempt> {
        let attempt = self.integer("an attempt number")?;
        Ok(Attempt(attempt))
    }

    /// Takes the outcome of an attempt or a probe, written as a status code.
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

    /// Takes a load report that may be absent: `name:value` pairs, separated by commas.
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

    /// Takes the next field, whatever it is; `None` at the end of the line.
    pub fn next_field(&mut self) -> Option<&'a str> {
        self.0.next()
    }

    /// Checks that no field is left.
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
