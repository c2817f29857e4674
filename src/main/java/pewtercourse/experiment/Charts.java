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

/** Charts as PNG files. */
final class Charts {
    private Charts() {}

    /** Worth served in time by second, of all sites, for each way: the mean over seeds and its 95% interval. */
    static void sites(Path file, List<SitesExperiment.Run> runs) throws IOException {
        XYChart chart = new XYChartBuilder()
                .width(1_000)
                .height(560)
                .title("One site's caches lost at 20 s, back cold at 38 s")
                .xAxisTitle("seconds")
                .yAxisTitle("worth answered in time, of all sites")
                .build();
        chart.getStyler().setYAxisMax(1.0);
        for (SitesSim.Way way : SitesSim.Way.values()) {
            List<double[]> of = runs.stream()
                    .filter(r -> r.way() == way && r.trouble() == SitesSim.Trouble.ONE)
                    .map(SitesExperiment.Run::bySecond)
                    .toList();
            if (of.size() < 2) {
                continue;
            }
            double[] x = new double[of.get(0).length], mean = new double[x.length], half = new double[x.length];
            for (int i = 0; i < x.length; i++) {
                SummaryStatistics s = new SummaryStatistics();
                for (double[] run : of) {
                    s.addValue(run[i]);
                }
                x[i] = i;
                mean[i] = s.getMean();
                half[i] = new TDistribution(s.getN() - 1).inverseCumulativeProbability(0.975)
                        * s.getStandardDeviation()
                        / Math.sqrt(s.getN());
            }
            chart.addSeries(DutiesExperiment.word(way), x, mean, half).setMarker(SeriesMarkers.NONE);
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }

    /** The share of runs that had a holder again within a time, for each way and fault. */
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
        for (DutiesExperiment.Way way : DutiesExperiment.Way.values()) {
            for (DutiesExperiment.Fault fault : DutiesExperiment.Fault.values()) {
                double[] gaps = runs.stream()
                        .filter(r -> r.way() == way && r.fault() == fault)
                        .mapToDouble(DutiesExperiment.Run::gapMs)
                        .filter(g -> g >= 0)
                        .map(g -> Math.max(0.25, g))
                        .sorted()
                        .toArray();
                if (gaps.length > 0) {
                    double[] share = new double[gaps.length];
                    Arrays.setAll(share, i -> (i + 1.0) / gaps.length);
                    chart.addSeries(DutiesExperiment.word(way) + ", " + DutiesExperiment.word(fault), gaps, share)
                            .setMarker(SeriesMarkers.NONE);
                }
            }
        }
        BitmapEncoder.saveBitmap(chart, file.toString(), BitmapEncoder.BitmapFormat.PNG);
    }
}
