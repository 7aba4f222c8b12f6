//! Formats output as JSON, coloured text and tables.

use rattanmast_state::{
    change::{Action, Change},
    effect::{Effect, Level},
    plan::Plan,
};
use serde::Serialize;
use snafu::ResultExt as _;

use crate::error::{JsonSnafu, Result};

const RED: &str = "31";
const GREEN: &str = "32";
const YELLOW: &str = "33";

/// Wraps `text` in the escape sequence of a terminal colour if `color` is set.
fn colorize(color: bool, code: &str, text: &str) -> String {
    match color {
        true => format!("\x1b[{code}m{text}\x1b[0m"),
        false => text.to_owned(),
    }
}

/// Encodes `value` as indented JSON.
///
/// # Errors
///
/// If the value cannot be represented in JSON.
pub fn json<T: Serialize>(value: &T) -> Result<String> {
    serde_json::to_string_pretty(value).context(JsonSnafu)
}

/// Formats a plan as text: its changes, then its effects.
pub fn plan(plan: &Plan, color: bool) -> String {
    let (base, next) = (plan.base.0, plan.target.version.0);
    let mut lines = vec![format!("version {base} -> {next}, plan {}", plan.digest)];
    lines.extend(plan.changes.iter().map(|c| change(c, color)));
    lines.extend(plan.effects.iter().map(|e| effect(e, color)));
    if plan.changes.is_empty() {
        lines.push("nothing changes".to_owned());
    }
    lines.join("\n")
}

fn change(change: &Change, color: bool) -> String {
    let code = match change.action {
        Action::Add => GREEN,
        Action::Remove => RED,
        Action::Alter => YELLOW,
    };
    colorize(color, code, &change.to_string())
}

fn effect(effect: &Effect, color: bool) -> String {
    let text = effect.to_string();
    match effect.level {
        Level::Note => text,
        Level::Warning => colorize(color, YELLOW, &text),
        Level::Refusal => colorize(color, RED, &text),
    }
}

/// Colours `text` green if `ok` is set, otherwise red.
pub fn colorize_outcome(ok: bool, text: &str, color: bool) -> String {
    colorize(color, if ok { GREEN } else { RED }, text)
}

/// Aligns the cells of `rows` in columns.
pub fn table(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |i: usize| {
        rows.iter()
            .filter_map(|r| Some(r.get(i)?.len()))
            .max()
            .unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let line = |row: &Vec<String>| {
        let cells = row.iter().zip(&widths).map(|(c, w)| format!("{c:w$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    rows.iter().map(line).collect::<Vec<_>>().join("\n")
}

/// Formats milliseconds since the Unix epoch as an RFC 3339 time in UTC.
pub fn utc_time(ms: u64) -> String {
    let (days, second_of_day) = (ms / 86_400_000, ms / 1000 % 86_400);
    // Counts years from 1 March, so that the leap day is the last day of a year.
    // 719,468 days lie between 0000-03-01 and 1970-01-01.
    let shifted_days = days + 719_468;
    let era = shifted_days / 146_097;
    let day_of_era = shifted_days % 146_097;
    let year = (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year + year / 4 - year / 100);
    let month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month + 2) / 5 + 1;
    let (month, year_carry) = if month < 10 {
        (month + 3, 0)
    } else {
        (month - 9, 1)
    };
    let year = era * 400 + year + year_carry;
    let (hour, minute, second) = (
        second_of_day / 3600,
        second_of_day / 60 % 60,
        second_of_day % 60,
    );
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}
