//! The log on standard error: lines of text or JSON by tracing, written by a thread of their own behind a bounded
//! queue. Lines are dropped rather than waited for where nobody reads them.

use crate::cli::LogFormat;
use std::fmt;
use tracing::field::{Field, Visit};
use tracing::{Event, Subscriber};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::filter::Targets;
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::util::SubscriberInitExt;

const QUEUE: usize = 1024; // lines

/// Starts the log. It is written to the end when the guard is dropped.
pub fn start(node: &str, format: LogFormat, levels: &str) -> Result<WorkerGuard, String> {
    let targets: Targets = levels.parse().map_err(|e| format!("--log {levels}: {e}"))?;
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(QUEUE);
    let (writer, guard) = builder.thread_name("log").finish(std::io::stderr());
    let registry = tracing_subscriber::registry().with(targets);
    let layer = tracing_subscriber::fmt::layer().with_writer(writer).with_ansi(false);
    let started = match format {
        LogFormat::Text => registry.with(layer.event_format(Text(node.to_owned()))).try_init(),
        LogFormat::Json => registry.with(layer.json().flatten_event(true)).try_init(),
    };
    started.map_err(|e| format!("log: {e}"))?;
    Ok(guard)
}

/// The node's name and the line.
struct Text(String);

impl<S, N> FormatEvent<S, N> for Text
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        _: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        let mut line = EventText::default();
        event.record(&mut line);
        writeln!(writer, "{} {}{}", self.0, line.message, line.fields)
    }
}

/// An event as text: its message, then its fields as ` name=value`.
#[derive(Default)]
struct EventText {
    message: String,
    fields: String,
}

impl EventText {
    fn push(&mut self, field: &Field, value: &str) {
        match field.name() {
            "message" => value.clone_into(&mut self.message),
            // It begins the line.
            "node" => {}
            name if value.contains(' ') => self.fields.push_str(&format!(" {name}={value:?}")),
            name => self.fields.push_str(&format!(" {name}={value}")),
        }
    }
}

impl Visit for EventText {
    fn record_str(&mut self, field: &Field, value: &str) {
        self.push(field, value);
    }

    fn record_debug(&mut self, field: &Field, value: &dyn fmt::Debug) {
        self.push(field, &format!("{value:?}"));
    }
}

/// Logs a line of the node under its part, which is the line's first word.
pub fn line(node: &str, text: &str) {
    let part = text.split([':', ' ']).next().unwrap_or_default();
    // A part's name must be known when the program is built; so must its level.
    macro_rules! parts {
        ($($name:literal => $level:ident,)* _ => $other:literal) => {
            match part {
                // Parts are matched by how they begin, and `list` must not mean `listen` too.
                "listen" => tracing::info!(target: "start", node, "{text}"),
                $($name => tracing::$level!(target: $name, node, "{text}"),)*
                _ => tracing::info!(target: $other, node, "{text}"),
            }
        };
    }
    parts! {
        "list" => info,
        "fleet" => info,
        "reload" => info,
        "settings" => info,
        "ending" => info,
        "dial" => warn,
        "silent" => warn,
        "lost" => warn,
        "slow" => warn,
        "bad" => warn,
        "login" => warn,
        "kill" => warn,
        "result" => warn,
        _ => "module"
    }
}
