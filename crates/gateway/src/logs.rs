//! Logging: one JSON object per line on standard output, written by a separate thread. Lines that
//! exceed its queue are dropped and counted.

use std::io;

use log::kv;
use serde_json::Value;

/// Maximum number of queued lines; further ones are dropped.
const MAX_QUEUED_LINES: usize = 8_192;

/// Keeps the writer thread alive and flushes queued lines on drop.
pub(crate) struct LogGuard {
    _writer: tracing_appender::non_blocking::WorkerGuard,
    /// Counts dropped lines.
    pub drop_counter: tracing_appender::non_blocking::ErrorCounter,
}

struct FieldVisitor<'a>(&'a mut serde_json::Map<String, Value>);

impl<'kvs> kv::VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: kv::Key<'kvs>, value: kv::Value<'kvs>) -> Result<(), kv::Error> {
        let field = match (value.to_u64(), value.to_i64(), value.to_f64()) {
            (Some(number), _, _) => Value::from(number),
            (_, Some(number), _) => Value::from(number),
            (_, _, Some(number)) => Value::from((number * 10.0).round() / 10.0),
            _ => Value::from(value.to_string()),
        };
        self.0.insert(key.as_str().to_owned(), field);
        Ok(())
    }
}

/// Initializes the logger. An unknown level counts as `info`.
pub(crate) fn init(host: &str, level: &str) -> LogGuard {
    let (writer, guard) = tracing_appender::non_blocking::NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(io::stdout());
    let drop_counter = writer.error_counter();
    let host = host.to_owned();
    let dispatch = fern::Dispatch::new()
        .level(log::LevelFilter::Warn)
        .level_for("sardinepaddle", log::LevelFilter::Trace)
        .format(move |out, message, record| {
            let mut fields = serde_json::Map::new();
            let stamp = humantime::format_rfc3339_millis(std::time::SystemTime::now());
            fields.insert("time".to_owned(), stamp.to_string().into());
            fields.insert("level".to_owned(), record.level().as_str().into());
            fields.insert("host".to_owned(), host.as_str().into());
            fields.insert("event".to_owned(), message.to_string().into());
            // Visiting fails only for values that can't be formatted.
            let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
            out.finish(format_args!("{}", Value::Object(fields)));
        })
        .chain(Box::new(writer) as Box<dyn io::Write + Send>);
    // Several daemons may share a process in tests; the first one's logger stays in place.
    let _ = dispatch.apply();
    set_level(level);
    LogGuard {
        _writer: guard,
        drop_counter,
    }
}

/// Changes the log level.
pub(crate) fn set_level(level: &str) {
    let level = level.parse().unwrap_or(log::LevelFilter::Info);
    log::set_max_level(level);
}
