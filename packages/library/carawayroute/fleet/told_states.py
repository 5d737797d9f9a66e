"""What callers were told of jobs whose state could not be read at that time."""

# Upper limits in ms of the age classes by which such answers are counted.
AGE_CLASSES_MS = (1_000, 3_000, 10_000, 30_000)


def age_class(age_ms: float) -> str:
    """Return the class of a state's age: its upper limit in seconds, or ``over_`` the highest."""
    for limit_ms in AGE_CLASSES_MS:
        if age_ms <= limit_ms:
            return f"{limit_ms // 1_000}_s"
    return f"over_{AGE_CLASSES_MS[-1] // 1_000}_s"
