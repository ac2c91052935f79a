use serde::Serialize;

/// A straight line fitted by least squares.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Line {
    /// Value at zero.
    #[serde(rename = "start")]
    pub intercept: f64,
    /// Change for each unit of x.
    pub slope: f64,
    /// Root mean square of the residuals.
    pub residual: f64,
}

impl Line {
    /// Fits a line to points of (x, y). With fewer than two points, the line is flat.
    #[allow(clippy::cast_precision_loss)]
    pub(crate) fn fit(points: &[(f64, f64)]) -> Self {
        let count = points.len() as f64;
        if points.len() < 2 {
            return Self { intercept: points.first().map_or(0.0, |p| p.1), ..Self::default() };
        }
        let (mean_x, mean_y) = (
            points.iter().map(|p| p.0).sum::<f64>() / count,
            points.iter().map(|p| p.1).sum::<f64>() / count,
        );
        let sum_xx: f64 = points.iter().map(|p| (p.0 - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|p| (p.0 - mean_x) * (p.1 - mean_y)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let line = Self { intercept: mean_y - slope * mean_x, slope, residual: 0.0 };
        let sum_squares: f64 = points.iter().map(|p| (p.1 - line.at(p.0)).powi(2)).sum();
        Self { residual: (sum_squares / count).sqrt(), ..line }
    }

    /// The value of the line at `x`.
    pub(crate) fn at(&self, x: f64) -> f64 {
        self.intercept + self.slope * x
    }
}
