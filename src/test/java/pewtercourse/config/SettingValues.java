package pewtercourse.config;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.lang.reflect.Array;
import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * All values of a settings object, without the names of types and fields and without their grouping: renaming a setting
 * or moving it into another record doesn't change them. Durations are compared in microseconds, enums by their ordinal.
 * Nulls and the JSON that the settings were read from are left out.
 */
final class SettingValues {
    private final TreeMap<String, Integer> counts = new TreeMap<>();

    private SettingValues() {}

    static SettingValues of(Object settings) {
        SettingValues values = new SettingValues();
        values.addAll(settings);
        return values;
    }

    private void addAll(Object value) {
        if (value == null || value instanceof JsonObject) {
            return; // The JSON that the settings were read from is kept for comparisons at a reload.
        }
        if (value instanceof Optional<?> optional) {
            addAll(optional.orElse(null));
        } else if (value instanceof Map<?, ?> map) {
            map.forEach((key, item) -> add(key + "=" + of(item).sorted()));
        } else if (value instanceof Collection<?> collection) {
            collection.forEach(this::addAll);
        } else if (value.getClass().isArray()) {
            for (int i = 0; i < Array.getLength(value); i++) {
                addAll(Array.get(value, i));
            }
        } else if (value instanceof Duration duration) {
            add(String.valueOf(duration.toNanos() / 1_000));
        } else if (value instanceof Enum<?> constant) {
            add("#" + constant.ordinal());
        } else if (value instanceof Number
                || value instanceof Boolean
                || value instanceof String
                || value instanceof Path
                || value instanceof InetSocketAddress
                || value instanceof JsonArray) {
            add(String.valueOf(value));
        } else {
            addFields(value);
        }
    }

    private void addFields(Object value) {
        if (!value.getClass().getName().startsWith("pewtercourse.")) {
            throw new IllegalStateException("a setting of " + value.getClass());
        }
        for (Field field : value.getClass().getDeclaredFields()) {
            if (!Modifier.isStatic(field.getModifiers())) {
                try {
                    field.setAccessible(true);
                    addAll(field.get(value));
                } catch (IllegalAccessException e) {
                    throw new IllegalStateException(e);
                }
            }
        }
    }

    private void add(String text) {
        counts.merge(text, 1, Integer::sum);
    }

    /** Returns all values sorted by their texts, with duplicates. */
    List<String> sorted() {
        List<String> texts = new ArrayList<>();
        counts.forEach((text, count) -> texts.addAll(java.util.Collections.nCopies(count, text)));
        return texts;
    }

    /** Returns the values that {@code other} lacks, and those that only {@code other} has. */
    String difference(SettingValues other) {
        List<String> missing = new ArrayList<>(sorted());
        other.sorted().forEach(missing::remove);
        List<String> added = new ArrayList<>(other.sorted());
        sorted().forEach(added::remove);
        return missing + " to " + added;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof SettingValues values && counts.equals(values.counts);
    }

    @Override
    public int hashCode() {
        return counts.hashCode();
    }
}
