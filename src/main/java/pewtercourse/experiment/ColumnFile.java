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

/** Writes a table in the Arrow file format. */
final class ColumnFile {
    /** A named column of strings or of doubles. */
    record Column(String name, List<?> values) {}

    private ColumnFile() {}

    static Column text(String name, List<String> values) {
        return new Column(name, values);
    }

    static Column number(String name, List<Double> values) {
        return new Column(name, values);
    }

    static void write(Path file, List<Column> columns) throws IOException {
        try (BufferAllocator allocator = new RootAllocator()) {
            List<FieldVector> vectors = new ArrayList<>();
            columns.forEach(c -> vectors.add(toVector(c, allocator)));
            try (VectorSchemaRoot root = new VectorSchemaRoot(vectors);
                    FileChannel channel = FileChannel.open(
                            file,
                            StandardOpenOption.CREATE,
                            StandardOpenOption.WRITE,
                            StandardOpenOption.TRUNCATE_EXISTING);
                    ArrowFileWriter writer = new ArrowFileWriter(root, null, channel)) {
                root.setRowCount(columns.get(0).values().size());
                writer.start();
                writer.writeBatch();
                writer.end();
            }
        }
    }

    private static FieldVector toVector(Column column, BufferAllocator allocator) {
        if (!column.values().isEmpty() && column.values().get(0) instanceof String) {
            VarCharVector strings = new VarCharVector(column.name(), allocator);
            for (int i = 0; i < column.values().size(); i++) {
                strings.setSafe(i, ((String) column.values().get(i)).getBytes(StandardCharsets.UTF_8));
            }
            strings.setValueCount(column.values().size());
            return strings;
        }
        Float8Vector numbers = new Float8Vector(column.name(), allocator);
        for (int i = 0; i < column.values().size(); i++) {
            numbers.setSafe(i, (Double) column.values().get(i));
        }
        numbers.setValueCount(column.values().size());
        return numbers;
    }
}
