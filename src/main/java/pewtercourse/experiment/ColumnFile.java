package pewtercourse.experiment;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.apache.arrow.memory.BufferAllocator;
import org.apache.arrow.memory.RootAllocator;
import org.apache.arrow.vector.FieldVector;
import org.apache.arrow.vector.Float8Vector;
import org.apache.arrow.vector.VarCharVector;
import org.apache.arrow.vector.VectorSchemaRoot;
import org.apache.arrow.vector.ipc.ArrowFileWriter;

/** A table in Arrow's file format. */
final class ColumnFile {
    /** A column of texts or of numbers. */
    record Column(String name, List<?> values) {}

    private ColumnFile() {}

    static Column text(String name, List<String> values) {
        return new Column(name, values);
    }

    static Column number(String name, List<Double> values) {
        return new Column(name, values);
    }

    static void write(Path file, List<Column> columns) throws IOException {
        try (BufferAllocator memory = new RootAllocator()) {
            List<FieldVector> vectors = new ArrayList<>();
            columns.forEach(c -> vectors.add(vector(c, memory)));
            try (VectorSchemaRoot root = new VectorSchemaRoot(vectors);
                    FileChannel out = FileChannel.open(
                            file,
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE,
                            StandardOpenOption.TRUNCATE_EXISTING);
                    ArrowFileWriter writer = new ArrowFileWriter(root, null, out)) {
                root.setRowCount(columns.get(0).values().size());
                writer.start();
                writer.writeBatch();
                writer.end();
            }
        }
    }

    private static FieldVector vector(Column c, BufferAllocator memory) {
        if (!c.values().isEmpty() && c.values().get(0) instanceof String) {
            VarCharVector v = new VarCharVector(c.name(), memory);
            for (int i = 0; i < c.values().size(); i++) {
                v.setSafe(i, ((String) c.values().get(i)).getBytes(StandardCharsets.UTF_8));
            }
            v.setValueCount(c.values().size());
            return v;
        }
        Float8Vector v = new Float8Vector(c.name(), memory);
        for (int i = 0; i < c.values().size(); i++) {
            v.setSafe(i, (Double) c.values().get(i));
        }
        v.setValueCount(c.values().size());
        return v;
    }
}
