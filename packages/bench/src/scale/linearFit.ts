/** Straight line fitted by least squares, with its goodness of fit R². */
export interface LinearFit {
  readonly slope: number;
  readonly intercept: number;
  readonly r2: number;
}

/** Fits a line to points (x, y); needs at least two different x values. */
export function computeLinearFit(
  points: ReadonlyArray<readonly [number, number]>,
): LinearFit {
  const count = points.length;
  const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
  const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
  const sumXy = points.reduce(
    (sum, [x, y]) => sum + (x - meanX) * (y - meanY),
    0,
  );
  const sumXx = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const sumYy = points.reduce((sum, [, y]) => sum + (y - meanY) ** 2, 0);
  const slope = sumXy / sumXx;
  const r2 = sumYy === 0 ? 1 : (slope * sumXy) / sumYy;
  return {slope, intercept: meanY - slope * meanX, r2};
}
