//! Results of the cases: printed, checked against bounds and saved for the report.

use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// One measured figure of a case.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Row {
    /// Case, such as `crest`.
    pub case: String,
    /// Measured variant, such as `ours` or `random`.
    pub subject: String,
    /// Name of the figure, with its unit.
    pub figure: String,
    /// Measured value, in the unit of the figure.
    pub value: f64,
    /// Bound to check; `None` for figures that are only reported.
    pub bound: Option<Bound>,
}

/// Bound of a figure, inclusive.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum Bound {
    /// Upper bound.
    AtMost(f64),
    /// Lower bound.
    AtLeast(f64),
}

/// A line of a plot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Series {
    /// Title of the plot that it belongs to.
    pub plot: String,
    /// Name of the line in the legend.
    pub name: String,
    /// Points as x and y.
    pub points: Vec<(f64, f64)>,
}

/// Results of one command, such as `requests`.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Results {
    /// Figures in order of measurement.
    pub rows: Vec<Row>,
    /// Lines of plots.
    pub series: Vec<Series>,
}

impl Results {
    /// Adds and prints a figure.
    pub fn add(
        &mut self,
        case: &str,
        subject: &str,
        figure: &str,
        value: f64,
        bound: Option<Bound>,
    ) {
        let row = Row {
            case: case.to_owned(),
            subject: subject.to_owned(),
            figure: figure.to_owned(),
            value,
            bound,
        };
        println!("{}", row.line());
        self.rows.push(row);
    }

    /// Adds a line of a plot.
    pub fn plot(&mut self, plot: &str, name: &str, points: Vec<(f64, f64)>) {
        self.series.push(Series {
            plot: plot.to_owned(),
            name: name.to_owned(),
            points,
        });
    }

    /// Whether every bound holds.
    pub fn all_hold(&self) -> bool {
        self.rows.iter().all(Row::holds)
    }

    /// Saves the results for the report. They replace earlier ones of the same cases and plots;
    /// those of other cases are retained.
    pub fn save(&self, name: &str) {
        let path = Self::path(name);
        let text = serde_json::to_string_pretty(&self.merged_into(Self::read(name)));
        let text = text.unwrap_or_default();
        let created = path.parent().map(std::fs::create_dir_all).transpose();
        if created.and_then(|_| std::fs::write(&path, text)).is_err() {
            eprintln!("can't write the results to {}", path.display());
        }
    }

    /// The earlier results, with those of the same cases and plots replaced by these.
    fn merged_into(&self, earlier: Option<Self>) -> Self {
        let mut all = earlier.unwrap_or_default();
        all.rows
            .retain(|row| self.rows.iter().all(|new| new.case != row.case));
        all.series
            .retain(|old| self.series.iter().all(|new| new.plot != old.plot));
        all.rows.extend(self.rows.iter().cloned());
        all.series.extend(self.series.iter().cloned());
        all
    }

    /// Saved results of a command; `None` if there are none or they can't be read.
    pub fn read(name: &str) -> Option<Self> {
        let text = std::fs::read_to_string(Self::path(name)).ok()?;
        serde_json::from_str(&text).ok()
    }

    fn path(name: &str) -> PathBuf {
        PathBuf::from("target/bench").join(format!("{name}.json"))
    }
}

impl Row {
    /// Whether the value is within its bound; true without one.
    pub fn holds(&self) -> bool {
        match self.bound {
            None => true,
            Some(Bound::AtMost(bound)) => self.value <= bound,
            Some(Bound::AtLeast(bound)) => self.value >= bound,
        }
    }

    /// The bound and whether it holds, as text; empty without a bound.
    pub fn bound_text(&self) -> String {
        let (sign, bound) = match self.bound {
            None => return String::new(),
            Some(Bound::AtMost(bound)) => ("at most", bound),
            Some(Bound::AtLeast(bound)) => ("at least", bound),
        };
        let result = if self.holds() { "met" } else { "MISSED" };
        format!("{sign} {bound}: {result}")
    }

    /// The row as a line of the printed table.
    fn line(&self) -> String {
        let (case, subject, figure) = (&self.case, &self.subject, &self.figure);
        format!(
            "{case:<12} {subject:<18} {figure:<34} {:>12.3}  {}",
            self.value,
            self.bound_text()
        )
    }
}
