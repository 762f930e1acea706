//! Writes the log to standard error as lines of text or JSON, using the `tracing` crate. A separate thread writes the
//! lines from a bounded queue. When the queue is full, lines are dropped, so that a slow reader of standard error does
//! not block requests.

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

/// Maximum number of log lines in the queue of the writer thread; further lines are dropped.
const MAX_QUEUED_LINES: usize = 1024;

/// Starts logging. Dropping the returned guard writes all queued lines.
pub fn start(node: &str, format: LogFormat, levels: &str) -> Result<WorkerGuard, String> {
    let targets: Targets = levels.parse().map_err(|e| format!("--log {levels}: {e}"))?;
    let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_QUEUED_LINES);
    let (writer, guard) = builder.thread_name("log").finish(std::io::stderr());
    let registry = tracing_subscriber::registry().with(targets);
    let layer = tracing_subscriber::fmt::layer().with_writer(writer).with_ansi(false);
    let started = match format {
        LogFormat::Text => registry.with(layer.event_format(TextFormat(node.to_owned()))).try_init(),
        LogFormat::Json => registry.with(layer.json().flatten_event(true)).try_init(),
    };
    started.map_err(|e| format!("log: {e}"))?;
    Ok(guard)
}

/// Text format of the log; each line starts with the name of the node, which is stored in this struct.
struct TextFormat(String);

impl<S, N> FormatEvent<S, N> for TextFormat
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

/// The text of a log event: the message, and the other fields as ` name=value`.
#[derive(Default)]
struct EventText {
    message: String,
    fields: String,
}

impl EventText {
    fn push(&mut self, field: &Field, value: &str) {
        match field.name() {
            "message" => value.clone_into(&mut self.message),
            // The line starts with the node's name, so it is not repeated as a field.
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

/// Logs a line of the node. The first word of the line selects the log target and the level.
pub fn line(node: &str, text: &str) {
    let target = text.split([':', ' ']).next().unwrap_or_default();
    // `tracing` requires the target and the level of an event to be constants, so each target has its own call.
    macro_rules! log_by_target {
        ($($name:literal => $level:ident,)* _ => $other:literal) => {
            match target {
                // Filters match targets by prefix, so a target `listen` would also be selected by a filter for `list`.
                "listen" => tracing::info!(target: "start", node, "{text}"),
                $($name => tracing::$level!(target: $name, node, "{text}"),)*
                _ => tracing::info!(target: $other, node, "{text}"),
            }
        };
    }
    log_by_target! {
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
