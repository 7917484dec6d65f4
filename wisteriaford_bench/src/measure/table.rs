//! Markdown table of the results.

use std::fmt::Write;

use clap::ValueEnum;

use super::Row;
use super::scenario::Decider;

const HEADER: &str = "\
| user | case | version | idle % | step s | steps | stale p50/p99 versions | stale p50/p99 s | \
interactive p50/p99 ms | given up | worst share % | repeated | too old | unlabelled | wasted % |
| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | ---: | ---: | --- | ---: | ---: | ---: | ---: |
";

/// Formats the results as a Markdown table.
#[must_use]
pub(super) fn table(rows: &[Row]) -> String {
    let mut table = String::from(HEADER);
    for row in rows {
        let _ = writeln!(table, "{}", format_row(row));
    }
    table
}

fn format_row(row: &Row) -> String {
    let figures = &row.figures;
    let decider = match row.decider {
        Decider::Design => "design",
        Decider::Naive => "naive",
    };
    let cells = [
        value_name(&row.user),
        value_name(&row.case),
        decider.to_owned(),
        format!("{:.1}", figures.idle_percent),
        format!("{:.1}", figures.step_s),
        figures.steps.to_string(),
        format!(
            "{}/{}",
            figures.staleness_p50_versions, figures.staleness_p99_versions
        ),
        format!(
            "{:.1}/{:.1}",
            figures.staleness_p50_s, figures.staleness_p99_s
        ),
        format!(
            "{}/{}",
            figures.interactive_p50_ms, figures.interactive_p99_ms
        ),
        figures.interactive_failed.to_string(),
        format!(
            "{:.1} ({})",
            figures.worst_share_percent, figures.worst_caller
        ),
        figures.repeated.to_string(),
        figures.too_old.to_string(),
        figures.unlabelled.to_string(),
        format!("{:.1}", figures.wasted_percent),
    ];
    format!("| {} |", cells.join(" | "))
}

fn value_name(value: &impl ValueEnum) -> String {
    let value = value.to_possible_value();
    value.map_or_else(String::new, |value| value.get_name().to_owned())
}
