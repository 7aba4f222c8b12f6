//! Output for operators.

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

/// Returns `text` in a colour of the terminal, if there is one.
fn paint(color: bool, code: &str, text: &str) -> String {
    match color {
        true => format!("\x1b[{code}m{text}\x1b[0m"),
        false => text.to_owned(),
    }
}

/// Returns JSON for programs.
///
/// # Errors
///
/// If the value has no JSON form.
pub fn json<T: Serialize>(value: &T) -> Result<String> {
    serde_json::to_string_pretty(value).context(JsonSnafu)
}

/// Returns a plan for people.
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
    paint(color, code, &change.to_string())
}

fn effect(effect: &Effect, color: bool) -> String {
    let text = effect.to_string();
    match effect.level {
        Level::Note => text,
        Level::Warning => paint(color, YELLOW, &text),
        Level::Refusal => paint(color, RED, &text),
    }
}

/// Returns `text` marked as good or bad.
pub fn mark(good: bool, text: &str, color: bool) -> String {
    paint(color, if good { GREEN } else { RED }, text)
}

/// Returns rows in columns.
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

/// Returns a time since the Unix epoch as operators read it, in UTC.
pub fn time(ms: u64) -> String {
    let (days, rest) = (ms / 86_400_000, ms / 1000 % 86_400);
    // Years begin in March here, so that the leap day is the last day of a year.
    let day = days + 719_468;
    let era = day / 146_097;
    let of_era = day % 146_097;
    let year = (of_era - of_era / 1_460 + of_era / 36_524 - of_era / 146_096) / 365;
    let of_year = of_era - (365 * year + year / 4 - year / 100);
    let month = (5 * of_year + 2) / 153;
    let day = of_year - (153 * month + 2) / 5 + 1;
    let (month, later) = if month < 10 {
        (month + 3, 0)
    } else {
        (month - 9, 1)
    };
    let year = era * 400 + year + later;
    let (hour, minute, second) = (rest / 3600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}
