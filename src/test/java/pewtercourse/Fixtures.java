package pewtercourse;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import com.google.protobuf.Descriptors.Descriptor;
import com.google.protobuf.Descriptors.FieldDescriptor;
import com.google.protobuf.Message;
import java.io.IOException;
import java.lang.reflect.RecordComponent;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Collection;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * Bytes that an earlier version of the program wrote, kept below {@code src/test/resources/fixtures}: what is on disk and
 * between members has to stay readable and is written alike. Run with {@code -Dfixtures.record=true}, the tests write
 * the files instead of comparing them; that is right only for a new fixture, never for one that a release has written.
 */
public final class Fixtures {
    private static final Path ROOT = Path.of("src", "test", "resources", "fixtures");
    private static final boolean RECORD = Boolean.getBoolean("fixtures.record");

    private Fixtures() {}

    /** The kept file or folder of this name. */
    public static Path path(String name) {
        return ROOT.resolve(name);
    }

    /** The content of the kept file of this name. */
    public static byte[] bytes(String name) throws IOException {
        return Files.readAllBytes(path(name));
    }

    /** Fails unless these bytes are those of the kept file. */
    public static void assertFile(String name, byte[] actual) throws IOException {
        if (RECORD) {
            Files.createDirectories(path(name).getParent());
            Files.write(path(name), actual);
        }
        assertArrayEquals(bytes(name), actual, name);
    }

    /** Fails unless the folder has the files of the kept one, each with the same bytes. */
    public static void assertFolder(String name, Map<String, byte[]> actual) throws IOException {
        if (RECORD) {
            for (Map.Entry<String, byte[]> file : actual.entrySet()) {
                assertFile(name + "/" + file.getKey(), file.getValue());
            }
        }
        assertSameFiles(files(path(name)), actual);
    }

    /** Fails unless both have the same files with the same bytes. */
    public static void assertSameFiles(Map<String, byte[]> expected, Map<String, byte[]> actual) {
        assertEquals(expected.keySet(), actual.keySet());
        expected.forEach((file, bytes) -> assertArrayEquals(bytes, actual.get(file), file));
    }

    /** The files of a folder by name, but the one that only serves as a lock. */
    public static Map<String, byte[]> files(Path folder) throws IOException {
        Map<String, byte[]> files = new TreeMap<>();
        try (Stream<Path> all = Files.list(folder)) {
            for (Path file : all.toList()) {
                String name = file.getFileName().toString();
                if (!name.equals("lock")) {
                    files.put(name, Files.readAllBytes(file));
                }
            }
        }
        return files;
    }

    /** Copies a kept folder, so that it can be opened without changing it. */
    public static Path copy(String name, Path to) throws IOException {
        Files.createDirectories(to);
        for (Map.Entry<String, byte[]> file : files(path(name)).entrySet()) {
            Files.write(to.resolve(file.getKey()), file.getValue());
        }
        return to;
    }

    /** Compares records field by field, into lists, maps, byte arrays and further records. */
    public static void assertSameContent(Object expected, Object actual) {
        assertSameContent("", expected, actual);
    }

    private static void assertSameContent(String at, Object expected, Object actual) {
        if (expected instanceof byte[] bytes) {
            assertArrayEquals(bytes, (byte[]) actual, at);
        } else if (expected instanceof List<?> list) {
            assertEquals(list.size(), ((List<?>) actual).size(), at);
            Iterator<?> other = ((List<?>) actual).iterator();
            int position = 0;
            for (Object element : list) {
                assertSameContent(at + "[" + position++ + "]", element, other.next());
            }
        } else if (expected instanceof Map<?, ?> map) {
            assertEquals(map.keySet(), ((Map<?, ?>) actual).keySet(), at);
            map.forEach((key, value) -> assertSameContent(at + "[" + key + "]", value, ((Map<?, ?>) actual).get(key)));
        } else if (expected instanceof Record record) {
            assertEquals(expected.getClass(), actual.getClass(), at);
            for (RecordComponent component : record.getClass().getRecordComponents()) {
                String inner = at + "." + component.getName();
                assertSameContent(inner, value(component, expected), value(component, actual));
            }
        } else {
            assertEquals(expected, actual, at);
        }
    }

    private static Object value(RecordComponent component, Object of) {
        try {
            component.getAccessor().setAccessible(true);
            return component.getAccessor().invoke(of);
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(component.toString(), e);
        }
    }

    /** The record types of a sealed interface, also of the sealed interfaces below it. */
    public static Set<Class<?>> leaves(Class<?> sealed) {
        Set<Class<?>> leaves = new java.util.HashSet<>();
        for (Class<?> type : sealed.getPermittedSubclasses()) {
            if (type.isSealed()) {
                leaves.addAll(leaves(type));
            } else {
                leaves.add(type);
            }
        }
        return leaves;
    }

    /** Fields, of these messages and of the types within them, that none of the messages sets. */
    public static Set<String> fieldsNeverSet(Collection<? extends Message> messages) {
        Set<String> known = new TreeSet<>();
        Set<String> set = new TreeSet<>();
        for (Message message : messages) {
            addFields(message.getDescriptorForType(), known, new TreeSet<>());
            addFieldsSet(message, set);
        }
        known.removeAll(set);
        return known;
    }

    private static void addFields(Descriptor type, Set<String> to, Set<String> typesSeen) {
        if (typesSeen.add(type.getFullName())) {
            for (FieldDescriptor field : type.getFields()) {
                to.add(field.getFullName());
                if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE) {
                    addFields(field.getMessageType(), to, typesSeen);
                }
            }
        }
    }

    private static void addFieldsSet(Message message, Set<String> to) {
        message.getAllFields().forEach((field, value) -> {
            to.add(field.getFullName());
            List<?> values = value instanceof List<?> list ? list : List.of(value);
            for (Object element : values) {
                if (element instanceof Message inner) {
                    addFieldsSet(inner, to);
                }
            }
        });
    }
}
