//! Plain text tables.

const GAP: &str = "  ";

/// Returns rows with their columns set below each other; the first row is the heading.
#[must_use]
pub fn format(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns).map(|column| width(rows, column)).collect();
    let mut text = String::new();
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, &width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(cells.join(GAP).trim_end());
        text.push('\n');
    }
    text
}

fn width(rows: &[Vec<String>], column: usize) -> usize {
    let cells = rows.iter().filter_map(|row| row.get(column));
    cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
}
