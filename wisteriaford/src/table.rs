//! Formatting of plain-text tables.

const COLUMN_SEPARATOR: &str = "  ";

/// Formats rows as left-aligned columns. The first row is the header.
#[must_use]
pub fn format(rows: &[Vec<String>]) -> String {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..columns)
        .map(|column| column_width(rows, column))
        .collect();
    let mut text = String::new();
    for row in rows {
        let cells: Vec<String> = row
            .iter()
            .zip(&widths)
            .map(|(cell, &width)| format!("{cell:<width$}"))
            .collect();
        text.push_str(cells.join(COLUMN_SEPARATOR).trim_end());
        text.push('\n');
    }
    text
}

fn column_width(rows: &[Vec<String>], column: usize) -> usize {
    let cells = rows.iter().filter_map(|row| row.get(column));
    cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
}
