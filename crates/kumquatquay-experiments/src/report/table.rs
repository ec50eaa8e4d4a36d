//! Tables for people.

use std::fmt;

/// A table of text; the first column is aligned left, the others right.
///
/// # Examples
///
/// ```
/// use kumquatquay_experiments::report::Table;
///
/// let mut table = Table::new(["measure", "none", "all"]);
/// table.row(["goodput", "0.41", "0.97"]);
/// assert_eq!(table.to_string(), "measure  none   all\ngoodput  0.41  0.97\n");
/// ```
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

/// Between two columns.
const GAP: &str = "  ";

impl Table {
    /// A table with a head.
    pub fn new<S: Into<String>>(head: impl IntoIterator<Item = S>) -> Self {
        let mut table = Self { rows: Vec::new() };
        table.row(head);
        table
    }

    /// Adds a row.
    pub fn row<S: Into<String>>(&mut self, cells: impl IntoIterator<Item = S>) {
        self.rows.push(cells.into_iter().map(Into::into).collect());
    }

    /// The table in Markdown.
    pub fn to_markdown(&self) -> String {
        let mut lines: Vec<String> = self.rows.iter().map(|row| markdown_line(row)).collect();
        let columns_count = self.rows.first().map_or(0, Vec::len);
        let rule: Vec<String> = vec![String::from("---"); columns_count];
        lines.insert(1.min(lines.len()), markdown_line(&rule));
        lines.join("\n") + "\n"
    }

    fn width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells
            .map(|cell| cell.chars().count())
            .max()
            .unwrap_or_default()
    }
}

fn markdown_line(cells: &[String]) -> String {
    format!("| {} |", cells.join(" | "))
}

impl fmt::Display for Table {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for row in &self.rows {
            for (column, cell) in row.iter().enumerate() {
                let width = self.width(column);
                if column == 0 {
                    write!(formatter, "{cell:<width$}")?;
                } else {
                    write!(formatter, "{GAP}{cell:>width$}")?;
                }
            }
            writeln!(formatter)?;
        }
        Ok(())
    }
}
