#ifndef EELGRASSTRACK_BENCH_FIGURES_H_
#define EELGRASSTRACK_BENCH_FIGURES_H_

#include <string>

namespace eelgrasstrack::bench {

/// Prints one figure as a line `name value unit bound`. `aBound` is the
/// required limit, or `-` if the figure has none.
void
PrintFigure(const std::string& aName,
            double aValue,
            const std::string& aUnit,
            const std::string& aBound = "-");

} // namespace eelgrasstrack::bench

#endif // EELGRASSTRACK_BENCH_FIGURES_H_
