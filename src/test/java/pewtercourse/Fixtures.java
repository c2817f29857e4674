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
 * Compares bytes with those that an earlier version of the program wrote, stored in {@code src/test/resources/fixtures}:
 * stored data and messages between members must stay readable and be written with the same bytes. With {@code
 * -Dfixtures.record=true} the tests write the files first. Use that only for a new fixture, never for one that a release
 * has written.
 */
public final class Fixtures {
    private static final Path ROOT = Path.of("src", "test", "resources", "fixtures");
    private static final boolean RECORD = Boolean.getBoolean("fixtures.record");

    private Fixtures() {}

    /** The path of the fixture file or folder with this name. */
    public static Path path(String name) {
        return ROOT.resolve(name);
    }

    /** The content of the fixture file with this name. */
    public static byte[] bytes(String name) throws IOException {
        return Files.readAllBytes(path(name));
    }

    /** Fails unless the bytes equal those of the fixture file. */
    public static void assertFile(String name, byte[] actual) throws IOException {
        if (RECORD) {
            Files.createDirectories(path(name).getParent());
            Files.write(path(name), actual);
        }
        assertArrayEquals(bytes(name), actual, name);
    }

    /** Fails unless the files have the names and bytes of those in the fixture folder. */
    public static void assertFolder(String name, Map<String, byte[]> actual) throws IOException {
        if (RECORD) {
            for (Map.Entry<String, byte[]> file : actual.entrySet()) {
                assertFile(name + "/" + file.getKey(), file.getValue());
            }
        }
        assertSameFiles(files(path(name)), actual);
    }

    /** Fails unless both maps have the same file names with the same bytes. */
    public static void assertSameFiles(Map<String, byte[]> expected, Map<String, byte[]> actual) {
        assertEquals(expected.keySet(), actual.keySet());
        expected.forEach((file, bytes) -> assertArrayEquals(bytes, actual.get(file), file));
    }

    /** The contents of the files of a folder by name, except the lock file. */
    public static Map<String, byte[]> files(Path folder) throws IOException {
        Map<String, byte[]> files = new TreeMap<>();
        try (Stream<Path> entries = Files.list(folder)) {
            for (Path file : entries.toList()) {
                String name = file.getFileName().toString();
                if (!name.equals("lock")) {
                    files.put(name, Files.readAllBytes(file));
                }
            }
        }
        return files;
    }

    /** Copies a fixture folder, so that a test can open it without changing the fixture. */
    public static Path copy(String name, Path target) throws IOException {
        Files.createDirectories(target);
        for (Map.Entry<String, byte[]> file : files(path(name)).entrySet()) {
            Files.write(target.resolve(file.getKey()), file.getValue());
        }
        return target;
    }

    /** Compares records component by component, including nested lists, maps, byte arrays and records. */
    public static void assertSameContent(Object expected, Object actual) {
        assertSameContent("", expected, actual);
    }

    private static void assertSameContent(String path, Object expected, Object actual) {
        if (expected instanceof byte[] bytes) {
            assertArrayEquals(bytes, (byte[]) actual, path);
        } else if (expected instanceof List<?> list) {
            assertEquals(list.size(), ((List<?>) actual).size(), path);
            Iterator<?> actualElements = ((List<?>) actual).iterator();
            int position = 0;
            for (Object element : list) {
                assertSameContent(path + "[" + position++ + "]", element, actualElements.next());
            }
        } else if (expected instanceof Map<?, ?> map) {
            assertEquals(map.keySet(), ((Map<?, ?>) actual).keySet(), path);
            map.forEach(
                    (key, value) -> assertSameContent(path + "[" + key + "]", value, ((Map<?, ?>) actual).get(key)));
        } else if (expected instanceof Record record) {
            assertEquals(expected.getClass(), actual.getClass(), path);
            for (RecordComponent component : record.getClass().getRecordComponents()) {
                String componentPath = path + "." + component.getName();
                assertSameContent(componentPath, value(component, expected), value(component, actual));
            }
        } else {
            assertEquals(expected, actual, path);
        }
    }

    private static Object value(RecordComponent component, Object record) {
        try {
            component.getAccessor().setAccessible(true);
            return component.getAccessor().invoke(record);
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(component.toString(), e);
        }
    }

    /** The record types that implement a sealed interface, including those of nested sealed interfaces. */
    public static Set<Class<?>> recordTypes(Class<?> sealed) {
        Set<Class<?>> types = new java.util.HashSet<>();
        for (Class<?> type : sealed.getPermittedSubclasses()) {
            if (type.isSealed()) {
                types.addAll(recordTypes(type));
            } else {
                types.add(type);
            }
        }
        return types;
    }

    /** The fields of these messages, and of the message types nested in them, that no message sets. */
    public static Set<String> fieldsNeverSet(Collection<? extends Message> messages) {
        Set<String> allFields = new TreeSet<>();
        Set<String> fieldsSet = new TreeSet<>();
        for (Message message : messages) {
            addFields(message.getDescriptorForType(), allFields, new TreeSet<>());
            addFieldsSet(message, fieldsSet);
        }
        allFields.removeAll(fieldsSet);
        return allFields;
    }

    private static void addFields(Descriptor type, Set<String> fields, Set<String> typesSeen) {
        if (typesSeen.add(type.getFullName())) {
            for (FieldDescriptor field : type.getFields()) {
                fields.add(field.getFullName());
                if (field.getJavaType() == FieldDescriptor.JavaType.MESSAGE) {
                    addFields(field.getMessageType(), fields, typesSeen);
                }
            }
        }
    }

    private static void addFieldsSet(Message message, Set<String> fields) {
        message.getAllFields().forEach((field, value) -> {
            fields.add(field.getFullName());
            List<?> values = value instanceof List<?> list ? list : List.of(value);
            for (Object element : values) {
                if (element instanceof Message inner) {
                    addFieldsSet(inner, fields);
                }
            }
        });
    }
}
