#pragma once

class Report;

/** Measures the cost of a reservation and its release at several numbers of workers with up to 6,000 running tasks. */
void measureDecisionCost(Report &report, bool isQuick);
