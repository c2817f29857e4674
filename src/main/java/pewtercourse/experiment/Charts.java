package pewtercourse.experiment;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.style.markers.SeriesMarkers;

/** Charts as PNG files. */
final class Charts {
    private Charts() { }

    /** The share of runs that had a holder again within a time, for each way and fault. */
    static void handOver(Path file, List<DutiesExperiment.Run> runs) throws IOException {
        XYChart chart = new XYChartBuilder().width(900).height(520).title("Time without a holder")
                .xAxisTitle("milliseconds").yAxisTitle("share of runs with a holder again").build();
        chart.getStyler().setXAxisLogarithmic(true);
        chart.getStyler().setYAxisMin(0.0);
        chart.getStyler().setYAxisMax(1.0);
        for (DutiesExperiment.Way way : DutiesExperiment.Way.values()) {
            for (DutiesExperiment.Fault fault : DutiesExperiment.Fault.values()) {
                double[] gaps = runs.stream().filter(r -> r.way() == way && r.fault() == fault)
                        .mapToDouble(DutiesExperiment.Run::gapMs).filter(g -> g >= 0).map(g -> Math.max(0.25, g)).sorted()
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
