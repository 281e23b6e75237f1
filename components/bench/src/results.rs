//! Rows of results: printed, checked against bounds and kept for the report.

use serde::{Deserialize, Serialize};
use std::path::PathBuf;

/// One figure of one case.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Row {
    /// Case, such as `crest`.
    pub case: String,
    /// What was measured, such as `ours` or `random`.
    pub subject: String,
    /// Name of the figure, with its unit.
    pub figure: String,
    /// Its value.
    pub value: f64,
    /// Bound, if the figure has one.
    pub bound: Option<Bound>,
}

/// A bound of a figure.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub enum Bound {
    /// The value must not exceed it.
    AtMost(f64),
    /// The value must reach it.
    AtLeast(f64),
}

/// A line of a plot.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Series {
    /// Plot that it belongs to.
    pub plot: String,
    /// Name of the line.
    pub name: String,
    /// Points.
    pub points: Vec<(f64, f64)>,
}

/// Results of one command.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Results {
    /// Figures.
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

    /// Whether no bound is broken.
    pub fn all_hold(&self) -> bool {
        self.rows.iter().all(Row::holds)
    }

    /// Keeps the results for the report, in place of earlier ones of the same cases.
    pub fn save(&self, name: &str) {
        let path = Self::path(name);
        let text = serde_json::to_string_pretty(&self.over(Self::read(name)));
        let text = text.unwrap_or_default();
        let kept = path.parent().map(std::fs::create_dir_all).transpose();
        if kept.and_then(|_| std::fs::write(&path, text)).is_err() {
            eprintln!("can't write {}", path.display());
        }
    }

    /// These results and those of other cases and plots in `earlier`.
    fn over(&self, earlier: Option<Self>) -> Self {
        let mut all = earlier.unwrap_or_default();
        all.rows
            .retain(|row| self.rows.iter().all(|new| new.case != row.case));
        all.series
            .retain(|old| self.series.iter().all(|new| new.plot != old.plot));
        all.rows.extend(self.rows.iter().cloned());
        all.series.extend(self.series.iter().cloned());
        all
    }

    /// Results kept by the last runs of a command.
    pub fn read(name: &str) -> Option<Self> {
        let text = std::fs::read_to_string(Self::path(name)).ok()?;
        serde_json::from_str(&text).ok()
    }

    fn path(name: &str) -> PathBuf {
        PathBuf::from("target/bench").join(format!("{name}.json"))
    }
}

impl Row {
    /// Whether the bound, if any, holds.
    pub fn holds(&self) -> bool {
        match self.bound {
            None => true,
            Some(Bound::AtMost(bound)) => self.value <= bound,
            Some(Bound::AtLeast(bound)) => self.value >= bound,
        }
    }

    /// The bound and whether it holds, as text.
    pub fn verdict(&self) -> String {
        let (sign, bound) = match self.bound {
            None => return String::new(),
            Some(Bound::AtMost(bound)) => ("at most", bound),
            Some(Bound::AtLeast(bound)) => ("at least", bound),
        };
        let word = if self.holds() { "met" } else { "MISSED" };
        format!("{sign} {bound}: {word}")
    }

    fn line(&self) -> String {
        let (case, subject, figure) = (&self.case, &self.subject, &self.figure);
        format!(
            "{case:<12} {subject:<18} {figure:<34} {:>12.3}  {}",
            self.value,
            self.verdict()
        )
    }
}
