package pewtercourse.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.apache.commons.math3.distribution.TDistribution;
import org.apache.commons.math3.stat.descriptive.SummaryStatistics;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Draws charts of the results as PNG files. */
final class Charts {
    private Charts() {}

    /** Draws the worth served in time per second at all sites, by strategy: the mean over seeds and its 95% interval. */
    static void sites(Path file, List<SitesExperiment.Run> runs) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(1_000)
                .height(560)
                .title("One site's caches lost at 20 s, back cold at 38 s")
                .xAxisTitle("seconds")
                .yAxisTitle("worth answered in time, of all sites")
                .build();
        chart.getStyler().setYAxisMax(1.0);
        for (SitesSim.Strategy strategy : SitesSim.Strategy.values()) {
            List<double[]> seriesByRun = runs.stream()
                    .filter(r -> r.strategy() == strategy && r.incident() == SitesSim.Incident.ONE)
                    .map(SitesExperiment.Run::bySecond)
                    .toList();
            if (seriesByRun.size() < 2) {
                continue;
            }
            double[] seconds = new double[seriesByRun.get(0).length];
            double[] mean = new double[seconds.length];
            double[] halfInterval = new double[seconds.length];
            for (int i = 0; i < seconds.length; i++) {
                SummaryStatistics statistics = new SummaryStatistics();
                for (double[] run : seriesByRun) {
                    statistics.addValue(run[i]);
                }
                seconds[i] = i;
                mean[i] = statistics.getMean();
                halfInterval[i] = new TDistribution(statistics.getN() - 1).inverseCumulativeProbability(0.975)
                        * statistics.getStandardDeviation()
                        / Math.sqrt(statistics.getN());
            }
            chart.addSeries(DutiesExperiment.lowerCaseWords(strategy), seconds, mean, halfInterval)
                    .setMarker(SeriesMarkers.NONE);
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    /** Draws the share of runs with a new holder over the time since the fault, by strategy and fault. */
    static void handOver(Path file, List<DutiesExperiment.Run> runs) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(900)
                .height(520)
                .title("Time without a holder")
                .xAxisTitle("milliseconds")
                .yAxisTitle("share of runs with a holder again")
                .build();
        chart.getStyler().setXAxisLogarithmic(true);
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setYAxisMax(1.0);
        for (DutiesExperiment.Strategy strategy : DutiesExperiment.Strategy.values()) {
            for (DutiesExperiment.Fault fault : DutiesExperiment.Fault.values()) {
                double[] gapsMs = runs.stream()
                        .filter(r -> r.strategy() == strategy && r.fault() == fault)
                        .mapToDouble(DutiesExperiment.Run::gapMs)
                        .filter(g -> g >= 0)
                        .map(g -> Math.max(0.25, g))
                        .sorted()
                        .toArray();
                if (gapsMs.length > 0) {
                    double[] share = new double[gapsMs.length];
                    Arrays.setAll(share, i -> (i + 1.0) / gapsMs.length);
                    chart.addSeries(
                                    DutiesExperiment.lowerCaseWords(strategy) + ", "
                                            + DutiesExperiment.lowerCaseWords(fault),
                                    gapsMs,
                                    share)
                            .setMarker(SeriesMarkers.NONE);
                }
            }
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
