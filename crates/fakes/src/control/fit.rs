//! Straight lines by least squares.

/// A straight line through points.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct FitLine {
    /// Value at zero.
    pub start: f64,
    /// Rise for each unit.
    pub slope: f64,
    /// Share of the variance that the line explains.
    pub fit: f64,
}

/// The line with the least sum of squared distances.
pub(super) fn line(points: &[(f64, f64)]) -> FitLine {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / count;
    let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / count;
    let spread = |part: fn(f64, f64) -> f64| {
        let parts = points.iter().map(|(x, y)| part(x - mean_x, y - mean_y));
        parts.sum::<f64>()
    };
    let xx = spread(|x, _| x * x);
    let xy = spread(|x, y| x * y);
    let yy = spread(|_, y| y * y);
    let slope = xy / xx;
    FitLine {
        start: mean_y - slope * mean_x,
        slope,
        fit: if yy == 0.0 { 1.0 } else { xy * xy / (xx * yy) },
    }
}
