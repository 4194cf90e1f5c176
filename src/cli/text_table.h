// A plain-text table whose columns are as wide as their widest cell.
//
//   TextTable table({"VM", "STATE"});
//   table.Add({"entry-1", "serving"});
//   table.Print(std::cout);
#ifndef VANILLALATCH_SRC_CLI_TEXT_TABLE_H_
#define VANILLALATCH_SRC_CLI_TEXT_TABLE_H_

#include <ostream>
#include <string>
#include <vector>

namespace vanillalatch {

// The cells are aligned by their length in bytes.
class TextTable {
 public:
  explicit TextTable(std::vector<std::string> header);

  // Adds a row, which must not have more cells than the header.
  void Add(std::vector<std::string> row);
  // True if the table has no rows besides the header.
  bool empty() const { return rows_.size() == 1; }
  // Prints the header and the rows, indented by two blanks.
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;  // The header first.
};

}  // namespace vanillalatch

#endif  // VANILLALATCH_SRC_CLI_TEXT_TABLE_H_
