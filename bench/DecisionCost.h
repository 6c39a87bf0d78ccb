#pragma once

class Report;

/** Measures reserving and releasing capacity for several worker counts with up to 6,000 running tasks, and the queue order. */
void measureDecisionCost(Report &report, bool isQuick);
