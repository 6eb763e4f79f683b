//! Plain-text tables.

/// Formats a table whose columns are as wide as their widest cell.
pub(crate) fn format_table<const N: usize>(header: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = header.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = format_row(&header.map(str::to_owned), &widths);
    for row in rows {
        text += &format_row(row, &widths);
    }
    text
}

fn format_row<const N: usize>(cells: &[String; N], widths: &[usize; N]) -> String {
    let padded: Vec<_> = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}
