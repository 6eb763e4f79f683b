//! Plain-text tables.

/// Formats a table whose columns are as wide as their widest cell.
pub(crate) fn columns<const N: usize>(head: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = head.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = line(&head.map(str::to_owned), &widths);
    for row in rows {
        text += &line(row, &widths);
    }
    text
}

fn line<const N: usize>(cells: &[String; N], widths: &[usize; N]) -> String {
    let padded: Vec<_> = cells
        .iter()
        .zip(widths)
        .map(|(cell, width)| format!("{cell:<width$}"))
        .collect();
    format!("{}\n", padded.join("  ").trim_end())
}
