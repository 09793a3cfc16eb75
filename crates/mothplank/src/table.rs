//! Text tables for humans.

/// Rows of cells under a heading; each column is as wide as its widest cell.
#[derive(Debug, Default)]
pub(crate) struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table with a heading.
    pub(crate) fn with_heading(cells: &[&str]) -> Self {
        let mut table = Self::default();
        table.add(cells.iter().map(ToString::to_string).collect());
        table
    }

    /// Adds a row.
    pub(crate) fn add(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    /// Formats the table; columns of numbers are aligned to the right.
    pub(crate) fn format(&self) -> String {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |i: usize| {
            self.rows.iter().filter_map(|it| it.get(i)).map(|it| it.chars().count()).max()
        };
        let widths: Vec<usize> = (0..columns).map(|i| width(i).unwrap_or(0)).collect();
        let numeric: Vec<bool> = (0..columns).map(|i| self.is_numeric(i)).collect();
        let lines = self.rows.iter().map(|row| {
            let cells = row.iter().enumerate().map(|(i, cell)| {
                let width = widths[i];
                if numeric[i] { format!("{cell:>width$}") } else { format!("{cell:<width$}") }
            });
            cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
        });
        lines.collect::<Vec<_>>().join("\n")
    }

    fn is_numeric(&self, column: usize) -> bool {
        let cells = self.rows.iter().skip(1).filter_map(|it| it.get(column));
        let mut cells = cells.filter(|it| !it.is_empty() && *it != "-").peekable();
        cells.peek().is_some() && cells.all(|it| it.parse::<f64>().is_ok())
    }
}
