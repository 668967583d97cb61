"""Constants of slowdowns and capacity classes; times are in seconds."""

from typing import Final

# Time constant of the mean of reported slowdowns. Slow periods last about 0.6 s, so
# that the mean has to follow within a third of that; single reports must not move all
# routers at once.
SLOWDOWN_SECONDS: Final = 0.2
# Without new reports a slowdown decays to 1.0 with this time constant, which is the
# usual length of a slow period.
SLOWDOWN_FORGET_SECONDS: Final = 0.6
# Time constant of the mean that the measured prefill rate shows already: as many
# seconds as its samples usually span.
LASTING_SLOWDOWN_SECONDS: Final = 10.0
# A report stands for at most this long in the lasting mean: about the time for which a
# value that changes many times a second says anything.
MAX_SAMPLE_SECONDS: Final = 1.0
# Higher reports count as this one: the endpoint gets nothing either way.
MAX_SLOWDOWN: Final = 20.0
# Shorter prompts are no samples of the lasting rate: the fixed overhead of a response,
# some 25 ms, would make engines with short prompts look slow.
MIN_RATE_SAMPLE_TOKENS: Final = 2_000
# A rate is known from so many samples on, and so many count: their median is within 10%
# and follows a permanent change within some seconds of usual load.
MIN_RATE_SAMPLES: Final = 8
MAX_RATE_SAMPLES: Final = 31
# Engines are alike if the fastest one has at most this many times the rate of the
# slowest one: measured rates of equal engines lie within 25% of their middle.
ALIKE_RATIO: Final = 1.7
# Once engines are not alike, they become alike at this ratio: the distance to the
# first one is the hysteresis.
ALIKE_AGAIN_RATIO: Final = 1.4
# Capacity classes for each doubling of the rate.
CLASSES_PER_DOUBLING: Final = 4
# An engine leaves its class when its rate is this many classes away, about 25%.
CLASS_HYSTERESIS: Final = 1.25
# Classes on each side of the middle one: rates from a quarter to four times the mean.
MAX_CLASS: Final = 8
# Time between two reviews of the classes, in each of which an engine changes its class
# by one: a permanent change of speed is followed within some seconds.
CLASS_REVIEW_SECONDS: Final = 1.0
# The same for each engine: a review, and finding homes anew after it, takes time in
# proportion to the number of engines, which must not determine a router's load.
CLASS_REVIEW_SECONDS_EACH: Final = 0.002
# Usual work of a plain endpoint on one request, the middle of 15 to 110 ms.
PLAIN_WORK_SECONDS: Final = 0.06
# Utilization above this counts as this one: the queue formula diverges at 1.
MAX_UTILIZATION: Final = 0.95
